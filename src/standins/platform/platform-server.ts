import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {VmEntry} from '../../common/index.js';
import {readBody, sendJson} from '../http-helpers.js';
import {handleRange, handleTransaction} from './etcd-gateway.js';
import {createTableStore} from './table-store.js';

/** Options of the stand-in platform. */
export type PlatformServerOptions = {
	/** Delay of every answer of the table service, in milliseconds. */
	readonly tableDelayMs: number;
	/** Age of the VM list, in milliseconds. */
	readonly vmListLagMs: number;
	/** Bytes that the weight store hands out a second. */
	readonly weightBytesPerSecond: number;
};

type TimedList = {
	readonly atMs: number;
	readonly sequence: number;
	readonly vms: readonly VmEntry[];
};

/** Faults that a test or an experiment sets with `PUT /faults`. */
type Faults = {
	/** Refuse every call of the table service. */
	tableDown: boolean;
	/** Lose the answers of this many transactions after they took effect. */
	loseAnswers: number;
};

/** Creates the HTTP server of the stand-in platform; the caller makes it listen. */
export function createPlatformServer(options: PlatformServerOptions): Server {
	const store = createTableStore();
	const objects = new Map<string, string>();
	const lists: TimedList[] = [{atMs: 0, sequence: 0, vms: []}];
	const faults: Faults = {tableDown: false, loseAnswers: 0};

	const answerTable = async (
		request: IncomingMessage,
		response: ServerResponse,
		path: string,
	): Promise<void> => {
		const body = JSON.parse(await readBody(request)) as never;
		if (options.tableDelayMs > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, options.tableDelayMs);
			});
		}

		if (faults.tableDown) {
			sendJson(response, 503, {message: 'table service is unavailable'});
			return;
		}

		if (path === '/v3/kv/range') {
			sendJson(response, 200, handleRange(store, body));
			return;
		}

		const answer = handleTransaction(store, body);
		if (faults.loseAnswers > 0) {
			faults.loseAnswers--;
			response.destroy();
			return;
		}

		sendJson(response, 200, answer);
	};

	const answerObject = async (
		request: IncomingMessage,
		response: ServerResponse,
		name: string,
	): Promise<void> => {
		if (request.method === 'PUT') {
			objects.set(name, await readBody(request));
			sendJson(response, 200, {});
			return;
		}

		const body = objects.get(name);
		response.writeHead(body === undefined ? 404 : 200, {
			'content-type': 'text/plain',
		});
		response.end(body ?? '');
	};

	const answerVms = async (
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> => {
		const atMs = performance.now();
		if (request.method === 'PUT') {
			const vms = JSON.parse(await readBody(request)) as VmEntry[];
			lists.push({atMs, sequence: lists.at(-1)!.sequence + 1, vms});
			sendJson(response, 200, {});
			return;
		}

		const visible =
			lists.findLast((list) => list.atMs <= atMs - options.vmListLagMs) ??
			lists[0];
		sendJson(response, 200, {sequence: visible.sequence, vms: visible.vms});
	};

	const handle = async (
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> => {
		const {pathname} = new URL(request.url!, 'http://platform');
		if (pathname.startsWith('/v3/kv/')) {
			await answerTable(request, response, pathname);
		} else if (pathname.startsWith('/objects/')) {
			await answerObject(request, response, pathname.slice('/objects/'.length));
		} else if (pathname === '/vms') {
			await answerVms(request, response);
		} else if (pathname.startsWith('/weights/')) {
			sendJson(response, 200, {sizeBytes: options.weightBytesPerSecond});
		} else if (pathname === '/faults' && request.method === 'PUT') {
			Object.assign(faults, JSON.parse(await readBody(request)));
			sendJson(response, 200, faults);
		} else {
			sendJson(response, 404, {message: 'no such path'});
		}
	};

	return createServer((request, response) => {
		handle(request, response).catch((error: unknown) => {
			if (!response.headersSent) {
				sendJson(response, 400, {message: String(error)});
			}
		});
	});
}
