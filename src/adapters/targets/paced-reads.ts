import type {Socket} from 'node:net';

/** Controls how fast the bytes of a socket reach their reader. */
export type PacedReads = {
	/** Stops the delivery of bytes; the peer is slowed down once the buffers are full. */
	pause(): void;
	resume(): void;
};

/**
 * Bytes that a reader gets before other connections have their turn. Responses may consist of units of a few
 * bytes each, such as events, chunks or interim responses, and each unit takes time to parse.
 */
const maxBytesPerTurn = 8192;

/**
 * Limits the bytes that a reader gets from a socket in one turn of the event loop. The reader must use
 * `readable` events and `read()`, as undici does. Its own way of pausing is not used: undici fails an
 * assertion if the peer resets a connection whose parser is paused.
 */
export function paceReads(socket: Socket): PacedReads {
	const read = socket.read.bind(socket);
	let leftBytes = maxBytesPerTurn;
	let isPaused = false;
	let isTurnScheduled = false;

	const announceBytes = () => {
		if (!isPaused && !socket.destroyed && socket.readableLength > 0) {
			socket.emit('readable');
		}
	};

	const scheduleTurn = () => {
		if (!isTurnScheduled) {
			isTurnScheduled = true;
			setImmediate(() => {
				isTurnScheduled = false;
				leftBytes = maxBytesPerTurn;
				announceBytes();
			});
		}
	};

	socket.read = (sizeBytes?: number): unknown => {
		const availableBytes = sizeBytes ?? socket.readableLength;
		if (availableBytes === 0) {
			// Reading nothing makes the stream fetch more, or report its end.
			return read(sizeBytes);
		}

		scheduleTurn();
		if (isPaused || leftBytes === 0) {
			return null;
		}

		const chunk: unknown = read(Math.min(availableBytes, leftBytes));
		leftBytes -= chunk instanceof Uint8Array ? chunk.length : 0;
		return chunk;
	};

	return {
		pause() {
			isPaused = true;
		},
		resume() {
			if (isPaused) {
				isPaused = false;
				scheduleTurn();
			}
		},
	};
}
