import {buildConnector, Client, type Dispatcher} from 'undici';
import {ProblemError} from '../../common/index.js';

/** Options of a client that tells resets from orderly ends. */
export type ResetAwareClientOptions = {
	readonly connectTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

const keepAliveInitialDelayMs = 1000;

/** Passes a handler's calls on, but lets an answer that a reset cut off fail. */
function failingOnReset(
	handler: Dispatcher.DispatchHandler,
	wasReset: () => boolean,
): Dispatcher.DispatchHandler {
	// A pool hands its clients handlers of undici's older form.
	return {
		onConnect(abort) {
			handler.onConnect?.(abort);
		},
		onResponseStarted() {
			handler.onResponseStarted?.();
		},
		onHeaders: (status, headers, resume, message) =>
			handler.onHeaders?.(status, headers, resume, message) ?? true,
		onData: (chunk) => handler.onData?.(chunk) ?? true,
		onComplete(trailers) {
			if (wasReset()) {
				handler.onError?.(
					new ProblemError('target-failed', 'the connection was reset'),
				);
			} else {
				handler.onComplete?.(trailers);
			}
		},
		onError(error) {
			handler.onError?.(error);
		},
	};
}

/**
 * Creates a client with one connection. An answer without a length ends with its connection, and
 * undici takes a reset for that end. A socket that was reset no longer knows its peer, which tells
 * the two apart.
 * @param origin - `http://address:port`
 */
export function createResetAwareClient(
	origin: URL | string,
	options: ResetAwareClientOptions,
): Client {
	const connect = buildConnector({
		timeout: options.connectTimeoutMs,
		keepAliveInitialDelay: keepAliveInitialDelayMs,
	});
	let wasReset = false;
	const client = new Client(origin, {
		pipelining: 1,
		keepAliveTimeout: options.idleTimeoutMs,
		keepAliveMaxTimeout: options.idleTimeoutMs,
		connect(target, callback) {
			wasReset = false;
			connect(target, (...[error, socket]) => {
				if (error) {
					callback(error, null);
					return;
				}

				socket.prependListener('end', () => {
					wasReset = socket.remoteAddress === undefined;
				});
				socket.prependListener('error', (failure: NodeJS.ErrnoException) => {
					wasReset ||= failure.code === 'ECONNRESET';
				});
				callback(null, socket);
			});
		},
	});
	const dispatch = client.dispatch.bind(client);
	client.dispatch = (request, handler) =>
		dispatch(
			request,
			failingOnReset(handler, () => wasReset),
		);
	return client;
}
