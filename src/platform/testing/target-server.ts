import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {headerNames} from '../wire-names.js';
import {decodeRequest, indexHeaders} from '../request-headers.js';
import {type CallerRequest, headerPairs} from '../../common/index.js';
import {resetSocket} from './reset-socket.js';

/** A request as a modelled target has read it. */
export type TargetArrival = {
	readonly targetId: string;
	readonly service: string;
	readonly request: CallerRequest;
	/** Monotonic time of arrival, in milliseconds. */
	readonly atMs: number;
	readonly account: string | undefined;
	readonly timeoutMs: number | undefined;
	readonly priority: number;
	/** Address of the engine that keeps a copy of the run's memory. */
	readonly backupAddress: string | undefined;
	/** Address and handle of the memory that the run goes on from. */
	readonly continueFrom: string | undefined;
	readonly lastEventId: number | undefined;
};

/** Hears what modelled targets see and do. */
export type TargetObserver = {
	arrived(arrival: TargetArrival): void;
	/** A target began to work on a request. */
	started(arrival: TargetArrival): void;
	/** A target works on the request no more. */
	stopped(arrival: TargetArrival, isFinished: boolean): void;
};

/** A target that listens on the loopback address. */
export type TargetServer = {
	readonly server: Server;
	/** Ends all connections without an answer, as a crash does. */
	resetConnections(): void;
};

/** Parts of a target that depend on what it does. */
export type TargetHandler = {
	readonly targetId: string;
	readonly service: string;
	/** Serves a request that is meant for this target. */
	serve(arrival: TargetArrival, response: ServerResponse): void;
	/** Answers a call of the target's own interface. */
	control(path: string, body: string, response: ServerResponse): void;
};

const refusedStatus = 503;
const misdirectedStatus = 421;
const defaultPriority = 5;

/** Starts an answer that bears the mark of the target. */
export function beginResponse(
	{request, targetId}: TargetArrival,
	response: ServerResponse,
	status: number,
	headers: Readonly<Record<string, string>> = {},
): void {
	response.writeHead(status, {
		[headerNames.requestId]: request.id,
		[headerNames.targetStamp]: `${targetId}.${request.id}`,
		...headers,
	});
}

/** States that the target has not run the request. */
export function refuse(
	arrival: TargetArrival,
	response: ServerResponse,
	status = refusedStatus,
): void {
	response.writeHead(status, {
		[headerNames.requestId]: arrival.request.id,
		[headerNames.notExecuted]: '1',
	});
	response.end();
}

/** Creates the HTTP side of a modelled target; the owner makes it listen. */
export function createTargetServer(
	work: TargetHandler,
	observer: TargetObserver,
): TargetServer {
	const sockets = new Set<Socket>();
	const server = createServer((incoming, response) => {
		const chunks: Uint8Array[] = [];
		incoming.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		incoming.on('end', () => {
			const path = incoming.url ?? '/';
			const text = new TextDecoder().decode(Buffer.concat(chunks));
			if (path.startsWith('/-/')) {
				work.control(path, text, response);
				return;
			}

			const headers = headerPairs(incoming.rawHeaders);
			const index = indexHeaders(headers);
			const textOf = (name: string) => index.get(name.toLowerCase());
			const numberOf = (name: string) => {
				const value = textOf(name);
				return value === undefined ? undefined : Number(value);
			};

			const arrival: TargetArrival = {
				targetId: work.targetId,
				service: work.service,
				request: decodeRequest({
					method: incoming.method ?? 'GET',
					path,
					headers,
					body: undefined,
				}),
				atMs: performance.now(),
				account: textOf(headerNames.account),
				timeoutMs: numberOf(headerNames.timeoutMs),
				priority: numberOf(headerNames.priority) ?? defaultPriority,
				backupAddress: textOf(headerNames.backup),
				continueFrom: textOf(headerNames.continueFrom),
				lastEventId: numberOf(headerNames.lastEventId),
			};
			const expected = textOf(headerNames.expectedTarget);
			if (expected !== undefined && expected !== work.targetId) {
				refuse(arrival, response, misdirectedStatus);
				return;
			}

			observer.arrived(arrival);
			work.serve(arrival, response);
		});
	});
	server.on('connection', (socket) => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	return {
		server,
		resetConnections() {
			for (const socket of sockets) {
				resetSocket(socket);
			}
		},
	};
}
