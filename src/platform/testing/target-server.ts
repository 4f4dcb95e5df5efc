import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {headerNames} from '../wire-names.js';
import {decodeRequest, indexHeaders} from '../request-headers.js';
import {
	type CallerRequest,
	headerPairs,
	misdirectedStatus,
} from '../../common/index.js';
import {resetSocket} from './reset-socket.js';

/** A request received by a simulated target, decoded. */
export type TargetArrival = {
	readonly targetId: string;
	readonly service: string;
	readonly request: CallerRequest;
	/** Monotonic time of receipt, in milliseconds. */
	readonly atMs: number;
	readonly account: string | undefined;
	readonly timeoutMs: number | undefined;
	readonly priority: number;
	/** `address:port` of the engine to which the run's KV cache is copied. */
	readonly backupAddress: string | undefined;
	/** Address and handle (`address/handle`) of the KV cache copy from which the run continues. */
	readonly continueFrom: string | undefined;
	readonly lastEventId: number | undefined;
};

/** What a simulated target says of itself: that it leaves, or that it wants no requests for a time. */
export type TargetStatement =
	| {readonly kind: 'leaving'}
	| {readonly kind: 'back-off'; readonly forMs: number};

/** Is called when simulated targets receive, start and stop executing requests. */
export type TargetObserver = {
	/** A target received a request. */
	arrived(arrival: TargetArrival): void;
	/** A target started to execute a request. */
	started(arrival: TargetArrival): void;
	/** A target has said something of itself in its response to a request. */
	stated(arrival: TargetArrival, statement: TargetStatement): void;
	/** A target stopped executing a request; `isFinished` is false if it was aborted. */
	stopped(arrival: TargetArrival, isFinished: boolean): void;
};

/** HTTP server of a simulated target. */
export type TargetServer = {
	readonly server: Server;
	/** Resets all connections without a response, as a crash does. */
	resetConnections(): void;
	/** Sets what the responses to later requests say; while it wants no requests, the target refuses them. */
	setStatement(statement: TargetStatement | undefined): void;
	/** Sets the rate limit that the responses to later requests name, in requests per second; undefined for none. */
	setRateLimit(requestsPerSecond: number | undefined): void;
};

/** The parts of a target server that depend on the kind of target. */
export type TargetHandler = {
	readonly targetId: string;
	readonly service: string;
	/** Serves a request that is addressed to this target. */
	serve(arrival: TargetArrival, response: ServerResponse): void;
	/** Responds to a control call. */
	control(path: string, body: string, response: ServerResponse): void;
};

const refusedStatus = 503;
const millisecondsPerSecond = 1000;
const defaultPriority = 5;

/** Writes the head of a response, with the header that only targets set. */
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

/** Responds that the target has not executed the request. */
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

/** Creates the HTTP server of a simulated target. The caller makes it listen. */
export function createTargetServer(
	handler: TargetHandler,
	observer: TargetObserver,
): TargetServer {
	const sockets = new Set<Socket>();
	let rateLimit: number | undefined;
	let statement: TargetStatement | undefined;

	/** Reports a statement once the head of its response has been written. */
	const reportStatement = (
		arrival: TargetArrival,
		response: ServerResponse,
		stated: TargetStatement,
	) => {
		if (response.headersSent) {
			observer.stated(arrival, stated);
		} else {
			response.on('finish', () => {
				observer.stated(arrival, stated);
			});
		}
	};

	const serve = (arrival: TargetArrival, response: ServerResponse) => {
		const stated = statement;
		if (stated?.kind === 'back-off') {
			const seconds = stated.forMs / millisecondsPerSecond;
			response.setHeader(headerNames.retryAfter, seconds);
			refuse(arrival, response);
		} else {
			if (stated) {
				response.setHeader(headerNames.leaving, 1);
			}

			handler.serve(arrival, response);
		}

		if (stated) {
			reportStatement(arrival, response, stated);
		}
	};

	const server = createServer((incoming, response) => {
		const chunks: Uint8Array[] = [];
		incoming.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		incoming.on('end', () => {
			const path = incoming.url ?? '/';
			const text = new TextDecoder().decode(Buffer.concat(chunks));
			if (path.startsWith('/-/')) {
				handler.control(path, text, response);
				return;
			}

			const headers = headerPairs(incoming.rawHeaders);
			const index = indexHeaders(headers);
			const headerText = (name: string) => index.get(name.toLowerCase());
			const headerNumber = (name: string) => {
				const value = headerText(name);
				return value === undefined ? undefined : Number(value);
			};

			const arrival: TargetArrival = {
				targetId: handler.targetId,
				service: handler.service,
				request: decodeRequest({
					method: incoming.method ?? 'GET',
					path,
					headers,
					body: undefined,
				}),
				atMs: performance.now(),
				account: headerText(headerNames.account),
				timeoutMs: headerNumber(headerNames.timeoutMs),
				priority: headerNumber(headerNames.priority) ?? defaultPriority,
				backupAddress: headerText(headerNames.backup),
				continueFrom: headerText(headerNames.continueFrom),
				lastEventId: headerNumber(headerNames.lastEventId),
			};
			const expected = headerText(headerNames.expectedTarget);
			if (expected !== undefined && expected !== handler.targetId) {
				refuse(arrival, response, misdirectedStatus);
				return;
			}

			if (rateLimit !== undefined) {
				response.setHeader(headerNames.rateLimit, rateLimit);
			}

			observer.arrived(arrival);
			serve(arrival, response);
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
		setStatement(next) {
			statement = next;
		},
		setRateLimit(requestsPerSecond) {
			rateLimit = requestsPerSecond;
		},
		resetConnections() {
			for (const socket of sockets) {
				resetSocket(socket);
			}
		},
	};
}
