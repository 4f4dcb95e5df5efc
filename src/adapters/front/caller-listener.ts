import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	type CallerLimits,
	type HeaderPair,
	headerPairs,
	ProblemError,
	type Timers,
	toProblem,
} from '../../common/index.js';
import {
	type CallerResponse,
	type BufferBudget,
	refuseNotRun,
	type ServingSession,
} from '../../decisions/serving/index.js';
import {createBoundedServer, type ServerBounds} from './bounded-server.js';
import {createCallerResponse} from './caller-response.js';
import {createOpenRequests, type OpenRequestLimits} from './open-requests.js';
import {readBody} from './request-body.js';
import type {RequestReception} from './request-turns.js';

/** A request that was received whole. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
};

export type CallerListenerOptions = {
	readonly bounds: ServerBounds;
	/** Limits in force; read for each request. */
	readonly limits: () => CallerLimits;
	/** True while this VM stops; connections are then closed after their response. */
	readonly isStopping: () => boolean;
	readonly bufferBudget: BufferBudget;
	readonly openRequestLimits: OpenRequestLimits;
	/** Response bytes that may be buffered for a caller that does not read. */
	readonly maxUnreadBytes: number;
	readonly timers: Timers;
	/** Time within which a caller must have sent a whole request, in milliseconds. */
	readonly maxReceiveMs: number;
	/**
	 * Serves a request that was received whole.
	 * @returns undefined if the response was sent at once
	 */
	readonly serve: (
		request: ReceivedRequest,
		response: CallerResponse,
	) => ServingSession | undefined;
	readonly onProblem: (problem: ProblemError) => void;
};

/** HTTP server for callers. */
export type CallerListener = {
	readonly server: Server;
	/** Requests whose response is not complete. */
	readonly openRequestCount: number;
	/** Closes the connections on which no request is open and all responses are sent. */
	closeIdleConnections(): void;
	/** Applies the limits that concern connections. */
	applyLimits(limits: CallerLimits): void;
};

const maxParsedHeaderBytes = 65_536;
/** Interval at which Node checks the connections for timeouts, in milliseconds. */
const checkIntervalMs = 1000;
/**
 * Time for which an idle connection stays open beyond the configured limit, in milliseconds: callers
 * reuse a connection until shortly before that limit.
 */
const idleSlackMs = 1000;
const headerTooLargeStatus = 431;
const bodyTooLargeStatus = 413;
/** Memory of the objects of an open request besides its bytes, in bytes. */
const requestOverheadBytes = 4096;
/** The separators `: ` and CRLF. */
const bytesPerHeaderLine = 4;
/** `Retry-After` if this VM has no memory for a request, in milliseconds; other VMs may have it. */
const outOfMemoryRetryAfterMs = 300;

function headerBytes(request: IncomingMessage): number {
	let size = 0;
	for (const part of request.rawHeaders) {
		size += part.length;
	}

	return size + (request.rawHeaders.length / 2) * bytesPerHeaderLine;
}

/** Creates the HTTP server for callers; the owner makes it listen. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const openResponses = new Set<ServerResponse>();
	const openRequests = createOpenRequests(options.openRequestLimits);

	const handle = async (
		request: IncomingMessage,
		response: ServerResponse,
		reception: RequestReception,
	) => {
		const callerResponse = createCallerResponse(response, {
			isStopping: options.isStopping,
			unreadUsage: options.bufferBudget.track(options.maxUnreadBytes),
			maxUnreadMs: options.bounds.maxUnreadMs,
			timers: options.timers,
			onStalled(unreadBytes) {
				options.onProblem(
					new ProblemError(
						'too-large',
						`closed the connection of a caller with ${unreadBytes} unread response bytes: over the limit, unread for too long, or no memory for them`,
					),
				);
			},
		});
		if (!openRequests.add(reception.address, response)) {
			response.shouldKeepAlive = false;
			refuseNotRun(
				callerResponse,
				'too many requests are open',
				outOfMemoryRetryAfterMs,
			);
			return;
		}

		const limits = options.limits();
		const headBytes = headerBytes(request);
		if (headBytes > limits.maxHeaderBytes) {
			response.shouldKeepAlive = false;
			callerResponse.sendLocalResponse(
				headerTooLargeStatus,
				'the headers are too large',
			);
			return;
		}

		let body: Uint8Array | undefined;
		const usage = options.bufferBudget.track(Infinity);
		response.once('close', () => {
			usage.dispose();
		});
		try {
			usage.set(headBytes + requestOverheadBytes);
			body = await readBody(request, {
				maxBytes: limits.maxBodyBytes,
				usage,
				reception,
			});
		} catch (error) {
			const problem = toProblem(error);
			if (problem.type === 'too-large') {
				response.shouldKeepAlive = false;
				callerResponse.sendLocalResponse(bodyTooLargeStatus, problem.detail);
			} else if (problem.type === 'not-run') {
				response.shouldKeepAlive = false;
				refuseNotRun(callerResponse, problem.detail, outOfMemoryRetryAfterMs);
			} else {
				// The caller disconnected before it had sent the whole request.
				response.destroy();
			}

			return;
		}

		if (response.destroyed) {
			return;
		}

		const session = options.serve(
			{
				method: request.method ?? 'GET',
				path: request.url ?? '/',
				headers: headerPairs(request.rawHeaders),
				body,
			},
			callerResponse,
		);
		response.once('close', () => {
			if (!response.writableFinished) {
				session?.callerDisconnected();
			}
		});
	};

	const server = createBoundedServer(
		{
			...options.bounds,
			http: {
				maxHeaderSize: maxParsedHeaderBytes,
				connectionsCheckingInterval: checkIntervalMs,
				noDelay: true,
				keepAlive: true,
				keepAliveInitialDelay: 5000,
			},
		},
		(request, response, reception) => {
			openResponses.add(response);
			response.once('close', () => {
				openResponses.delete(response);
			});
			handle(request, response, reception).catch((error: unknown) => {
				options.onProblem(toProblem(error));
				response.destroy();
			});
		},
	);
	server.requestTimeout = options.maxReceiveMs;
	return {
		server,
		get openRequestCount() {
			return openResponses.size;
		},
		closeIdleConnections() {
			// Node takes a connection for idle once its response is complete, although bytes of it may wait to be sent.
			const hasUnsent = [...openResponses].some(
				(response) => response.writableEnded && !response.writableFinished,
			);
			if (!hasUnsent) {
				server.closeIdleConnections();
			}
		},
		applyLimits(limits) {
			server.keepAliveTimeout = limits.idleTimeoutMs + idleSlackMs;
			server.headersTimeout = limits.headerTimeoutMs;
			server.requestTimeout = Math.max(
				options.maxReceiveMs,
				limits.headerTimeoutMs,
			);
		},
	};
}
