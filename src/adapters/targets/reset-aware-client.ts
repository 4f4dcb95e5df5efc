import type {Socket} from 'node:net';
import type {Client as UndiciClient} from 'undici';
import {ProblemError} from '../../common/index.js';
import {buildConnector, Client} from '../http-client/index.js';
import {paceReads, type PacedReads, type ReadBudget} from './paced-reads.js';

export type ResetAwareClientOptions = {
	readonly connectTimeoutMs: number;
	/** What the connections of all clients may read in one turn. */
	readonly readBudget: ReadBudget;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
	/**
	 * Called if the target, or the network, ends the connection; possibly more than once.
	 * @param request - dispatch options of the latest request on the connection, which may have ended before
	 * @param wasReset - false if the connection was closed in an orderly way
	 */
	readonly onConnectionEnd: (request: object, wasReset: boolean) => void;
	/**
	 * Returns the largest size of the response to a request, including interim responses and framing, in
	 * bytes; the connection is closed when more bytes are received.
	 * @param request - options with which the request was dispatched
	 */
	readonly maxResponseBytes: (request: object) => number;
	/**
	 * Called when a request is dispatched.
	 * @param reads - controls how fast its response is read, until the next request is dispatched
	 */
	readonly onDispatch: (
		request: object,
		reads: Pick<PacedReads, 'pause' | 'resume'>,
	) => void;
};

/** Errors of a socket whose connection is gone, as opposed to those that this process raises. */
const connectionLossCodes: ReadonlySet<string | undefined> = new Set([
	'ECONNRESET',
	'EPIPE',
	'ETIMEDOUT',
]);
const keepAliveInitialDelayMs = 1000;

/**
 * Creates a client with one connection that distinguishes a reset from an orderly close. A response
 * without a length ends when its connection is closed, and undici takes a reset for that end too. After
 * a reset, the socket has no remote address any more, which distinguishes the two.
 * @param origin - `http://address:port`
 */
export function createResetAwareClient(
	origin: URL | string,
	options: ResetAwareClientOptions,
): UndiciClient {
	const connect = buildConnector({
		timeout: options.connectTimeoutMs,
		keepAliveInitialDelay: keepAliveInitialDelayMs,
	});
	let latestRequest: object | undefined;
	let currentSocket: Socket | undefined;
	let currentReads: PacedReads | undefined;
	/** Bytes that the socket had received when the latest request was dispatched. */
	let bytesReadBefore = 0;

	const reportEnd = (wasReset: boolean) => {
		if (latestRequest) {
			options.onConnectionEnd(latestRequest, wasReset);
		}
	};

	/** Counts the socket's bytes, since undici's parser counts neither interim responses nor chunk extensions. */
	const checkResponseSize = (socket: Socket) => {
		const responseBytes = socket.bytesRead - bytesReadBefore;
		if (
			latestRequest &&
			responseBytes > options.maxResponseBytes(latestRequest)
		) {
			socket.destroy(
				new ProblemError(
					'too-large',
					`response is too large: ${responseBytes} bytes received, including its framing`,
				),
			);
		}
	};

	const client = new Client(origin, {
		pipelining: 1,
		keepAliveTimeout: options.idleTimeoutMs,
		keepAliveMaxTimeout: options.idleTimeoutMs,
		connect(target, callback) {
			connect(target, (...[error, socket]) => {
				if (error) {
					callback(error, null);
					return;
				}

				socket.prependListener('end', () => {
					reportEnd(socket.remoteAddress === undefined);
				});
				socket.prependListener('error', (failure: NodeJS.ErrnoException) => {
					if (connectionLossCodes.has(failure.code)) {
						reportEnd(failure.code === 'ECONNRESET');
					}
				});
				socket.prependListener('readable', () => {
					checkResponseSize(socket);
				});
				currentSocket = socket;
				currentReads = paceReads(socket, options.readBudget);
				bytesReadBefore = 0;
				callback(null, socket);
			});
		},
	});
	const dispatch = client.dispatch.bind(client);
	client.dispatch = (request, handler) => {
		// A pool dispatches the next request to a client only after the previous one has ended.
		latestRequest = request;
		bytesReadBefore = currentSocket?.bytesRead ?? 0;
		currentReads?.resume();
		options.onDispatch(request, {
			pause() {
				if (latestRequest === request) {
					currentReads?.pause();
				}
			},
			resume() {
				if (latestRequest === request) {
					currentReads?.resume();
				}
			},
		});
		return dispatch(request, handler);
	};

	return client;
}
