import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	type CallerLimits,
	type HeaderPair,
	headerPairs,
	ProblemError,
	toProblem,
} from '../../common/index.js';
import {
	type CallerResponse,
	type BufferBudget,
	type BufferUsage,
	refuseNotRun,
	type ServingSession,
} from '../../decisions/serving/index.js';
import {createCallerReply} from './caller-reply.js';

/** What was read of a request. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
};

/** How callers are served. */
export type CallerListenerOptions = {
	readonly limits: () => CallerLimits;
	readonly isStopping: () => boolean;
	readonly held: BufferBudget;
	/** Bytes that may wait for a caller that does not read. */
	readonly maxUnreadBytes: number;
	/** Time in which a caller must have sent a whole request, in milliseconds. */
	readonly maxReceiveMs: number;
	/** Connections of callers at a time. */
	readonly maxConnections: number;
	/** Serves a request that was read whole. */
	readonly serve: (
		request: ReceivedRequest,
		reply: CallerResponse,
	) => ServingSession | undefined;
	readonly onProblem: (problem: ProblemError) => void;
};

/** The server towards callers. */
export type CallerListener = {
	readonly server: Server;
	/** Requests without a whole answer. */
	readonly openCount: number;
	/** Takes over limits that concern connections. */
	applyLimits(limits: CallerLimits): void;
};

const maxParsedHeaderBytes = 65_536;
const checkIntervalMs = 1000;
/** Callers reuse a connection until close to the idle limit; it stays open a little longer. */
const idleSlackMs = 1000;
const headerTooLargeStatus = 431;
const bodyTooLargeStatus = 413;
const bytesPerHeaderLine = 4;
/** Other VMs have memory to spare, in milliseconds. */
const retryAfterMs = 300;

function headerBytes(request: IncomingMessage): number {
	let size = 0;
	for (const part of request.rawHeaders) {
		size += part.length;
	}

	return size + (request.rawHeaders.length / 2) * bytesPerHeaderLine;
}

/**
 * Reads a whole body.
 * @throws ProblemError `too-large`, or `not-run` if this VM has no memory for it
 */
async function readBody(
	request: IncomingMessage,
	maxBytes: number,
	holding: BufferUsage,
): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		const problem = holding.set(size);
		if (problem) {
			throw problem === 'too large'
				? new ProblemError(
						'too-large',
						`the body is larger than ${maxBytes} bytes`,
					)
				: new ProblemError('not-run', problem);
		}

		chunks.push(chunk);
	}

	return size === 0 ? undefined : Buffer.concat(chunks, size);
}

/** Creates the server towards callers; the owner makes it listen. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	let openCount = 0;

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const reply = createCallerReply(
			response,
			options.held.track(options.maxUnreadBytes),
			(unreadBytes) => {
				options.onProblem(
					new ProblemError(
						'too-large',
						`a caller leaves ${unreadBytes} bytes unread`,
					),
				);
			},
		);
		const limits = options.limits();
		if (headerBytes(request) > limits.maxHeaderBytes) {
			response.shouldKeepAlive = false;
			reply.sendLocalResponse(
				headerTooLargeStatus,
				'the headers are too large',
			);
			return;
		}

		let body: Uint8Array | undefined;
		const bodyHolding = options.held.track(limits.maxBodyBytes);
		response.once('close', () => {
			bodyHolding.dispose();
		});
		try {
			body = await readBody(request, limits.maxBodyBytes, bodyHolding);
		} catch (error) {
			const problem = toProblem(error);
			if (problem.type === 'too-large') {
				response.shouldKeepAlive = false;
				reply.sendLocalResponse(bodyTooLargeStatus, problem.detail);
			} else if (problem.type === 'not-run') {
				response.shouldKeepAlive = false;
				refuseNotRun(reply, problem.detail, retryAfterMs);
			} else {
				// The caller closed its connection before the request was whole.
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
			reply,
		);
		response.once('close', () => {
			if (!response.writableFinished) {
				session?.callerDisconnected();
			}
		});
	};

	const server = createServer(
		{
			maxHeaderSize: maxParsedHeaderBytes,
			connectionsCheckingInterval: checkIntervalMs,
			noDelay: true,
			keepAlive: true,
			keepAliveInitialDelay: 5000,
		},
		(request, response) => {
			openCount++;
			response.once('close', () => {
				openCount--;
			});
			if (options.isStopping()) {
				response.shouldKeepAlive = false;
			}

			handle(request, response).catch((error: unknown) => {
				options.onProblem(toProblem(error));
				response.destroy();
			});
		},
	);
	server.requestTimeout = options.maxReceiveMs;
	server.maxConnections = options.maxConnections;
	return {
		server,
		get openCount() {
			return openCount;
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
