import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {
	ConnectionLimitReason,
	ConnectionUse,
	TrackedConnection,
} from './connection-table.js';
import {createPacedConnection} from './paced-connection.js';
import type {ReceiveMemory, Receiver} from './receive-memory.js';
import {createRequestTurns, type TurnListener} from './request-turns.js';

/** Limit for which a connection was closed or refused. */
export type ConnectionClosedReason =
	ConnectionLimitReason | 'receive-memory' | 'pipelined' | 'unread';

export type BoundedConnectionOptions = {
	readonly receiveMemory: ReceiveMemory;
	/** Time in which a caller must read more of a response that was sent, in milliseconds. */
	readonly maxUnreadMs: number;
	readonly onClosed: (reason: ConnectionClosedReason) => void;
};

/** A connection whose requests are parsed and served one after the other. */
export type BoundedConnection = TrackedConnection & {
	/** Takes the place of the socket for an HTTP server. */
	readonly stream: Duplex;
	/** True while a request was received whole and its response is not sent and read. */
	readonly hasWholeRequest: boolean;
	/** Serves a parsed request when the earlier ones are answered and read. */
	addRequest(
		request: IncomingMessage,
		response: ServerResponse,
		serve: TurnListener,
	): void;
};

/** @returns length of the body of a request; 0 if it has none or is chunked */
function bodyBytesOf({headers}: IncomingMessage): number {
	const lengthBytes = Number(headers['content-length'] ?? 0);
	return Number.isSafeInteger(lengthBytes) ? lengthBytes : 0;
}

/** Creates the bounds of a connection that was accepted; its owner closes it. */
export function createBoundedConnection(
	socket: Socket,
	{receiveMemory, maxUnreadMs, onClosed}: BoundedConnectionOptions,
): BoundedConnection {
	const address = socket.remoteAddress ?? '';
	let use: ConnectionUse = 'new';
	/** Bytes of the request that is not received whole. */
	let partBytes = 0;
	/** True once the request that is being received was refused; its rest takes no memory. */
	let isRefused = false;

	const turns = createRequestTurns({
		address,
		isOpen: () => !stream.destroyed && !stream.writableEnded,
		onTurnEnded() {
			if (turns.openCount === 0) {
				use = 'idle';
			}

			// Other connections, timers and log output come first: a caller that sends ahead would
			// otherwise have all its requests served in one turn of the event loop.
			setImmediate(paced.update);
		},
		onTooMany() {
			closeFor('pipelined');
		},
	});

	const paced = createPacedConnection(socket, {
		mayDeliver: () => !turns.hasWholeRequest,
		mayReceive: () => receiveMemory.mayReceive(receiver),
		isReceivingBody: () => turns.isReceivingBody,
		onProgress(heldBytes, deliveredBytes) {
			partBytes = turns.hasWholeRequest ? 0 : partBytes + deliveredBytes;
			const isFree = stream.destroyed || isRefused;
			receiveMemory.set(receiver, isFree ? 0 : heldBytes + partBytes);
		},
	});
	const {stream} = paced;

	const closeFor = (reason: ConnectionClosedReason) => {
		if (!stream.destroyed) {
			onClosed(reason);
			paced.close();
		}
	};

	const receiver: Receiver = {
		address,
		refuse() {
			isRefused = true;
			if (turns.refuse()) {
				onClosed('receive-memory');
			} else {
				closeFor('receive-memory');
			}
		},
	};
	stream.once('close', () => {
		receiveMemory.set(receiver, 0);
	});

	return {
		address,
		stream,
		get use() {
			return use;
		},
		get hasWholeRequest() {
			return turns.hasWholeRequest;
		},
		close() {
			paced.close();
		},
		addRequest(request, response, serve) {
			use = 'busy';
			paced.expectBody(bodyBytesOf(request));
			response.once('prefinish', () => {
				use = 'unread';
				response.setTimeout(maxUnreadMs, () => {
					closeFor('unread');
				});
			});
			turns.add(request, response, (...turn) => {
				// That of an earlier response would end this one.
				paced.clearTimeout();
				serve(...turn);
			});
		},
	};
}
