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

export type PlatformServerOptions = {
	/** Delay of every response of the table service, in milliseconds. */
	readonly tableDelayMs: number;
	/** Time after which a change of the VM list becomes visible, in milliseconds. */
	readonly vmListLagMs: number;
	/** Reported as the size of every model's weights, so that loading a model at this rate takes one second. */
	readonly weightBytesPerSecond: number;
};

type VmListRevision = {
	/** Monotonic time at which the list was set, in milliseconds. */
	readonly atMs: number;
	readonly sequence: number;
	readonly vms: readonly VmEntry[];
};

/** Faults that a test or an experiment sets with `PUT /faults`. */
type Faults = {
	/** Respond to every request to the table service with status 503. */
	tableDown: boolean;
	/** Number of transactions, from the next one on, that are executed but get no response: their connection is closed. */
	loseAnswers: number;
};

/**
 * Creates the HTTP server of a stand-in platform: table service, object store, VM list and weight store. It
 * does not listen yet.
 */
export function createPlatformServer(options: PlatformServerOptions): Server {
	const store = createTableStore();
	const objects = new Map<string, string>();
	const lists: VmListRevision[] = [{atMs: 0, sequence: 0, vms: []}];
	const faults: Faults = {tableDown: false, loseAnswers: 0};

	const handleTable = async (
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

		const result = handleTransaction(store, body);
		if (faults.loseAnswers > 0) {
			faults.loseAnswers--;
			response.destroy();
			return;
		}

		sendJson(response, 200, result);
	};

	const handleObject = async (
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

	const handleVmList = async (
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
			await handleTable(request, response, pathname);
		} else if (pathname.startsWith('/objects/')) {
			await handleObject(request, response, pathname.slice('/objects/'.length));
		} else if (pathname === '/vms') {
			await handleVmList(request, response);
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
