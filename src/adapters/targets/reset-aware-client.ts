import type {Socket} from 'node:net';
import type {Client as UndiciClient} from 'undici';
import {ProblemError} from '../../common/index.js';
import {buildConnector, Client} from '../http-client/index.js';

/** Options of a client that tells resets from orderly ends. */
export type ResetAwareClientOptions = {
	readonly connectTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
	/**
	 * The connection was reset while a request was under way.
	 * @param request - options with which the request was dispatched
	 */
	readonly onReset: (request: object) => void;
	/**
	 * Bytes after which the connection is closed while a request is under way, whatever they are.
	 * @param request - options with which the request was dispatched
	 */
	readonly maxResponseBytes: (request: object) => number;
};

const keepAliveInitialDelayMs = 1000;

/**
 * Creates a client with one connection. An answer without a length ends with its connection, and
 * undici takes a reset for that end. A socket that was reset no longer knows its peer, which tells
 * the two apart.
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
	let current: object | undefined;
	let currentSocket: Socket | undefined;
	let bytesBefore = 0;

	const noteReset = (wasReset: boolean) => {
		if (wasReset && current) {
			options.onReset(current);
		}
	};

	/** The parser counts neither interim answers nor chunk extensions, so the bytes are counted here. */
	const checkSize = (socket: Socket) => {
		const answerBytes = socket.bytesRead - bytesBefore;
		if (current && answerBytes > options.maxResponseBytes(current)) {
			socket.destroy(
				new ProblemError(
					'too-large',
					`answer of ${answerBytes} bytes with its framing: too large`,
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
					noteReset(socket.remoteAddress === undefined);
				});
				socket.prependListener('error', (failure: NodeJS.ErrnoException) => {
					noteReset(failure.code === 'ECONNRESET');
				});
				socket.prependListener('readable', () => {
					checkSize(socket);
				});
				currentSocket = socket;
				bytesBefore = 0;
				callback(null, socket);
			});
		},
	});
	const dispatch = client.dispatch.bind(client);
	client.dispatch = (request, handler) => {
		// A pool gives a client its next request only after the one before has ended.
		current = request;
		bytesBefore = currentSocket?.bytesRead ?? 0;
		return dispatch(request, handler);
	};

	return client;
}
