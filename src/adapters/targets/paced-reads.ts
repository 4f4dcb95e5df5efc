import type {Socket} from 'node:net';

/** Bytes that the readers of several sockets may get together in one turn of the event loop. */
export type ReadBudget = {
	/** @returns how many of the wanted bytes may be read now */
	take(wantedBytes: number): number;
};

/** Controls how fast the bytes of a socket reach their reader. */
export type PacedReads = {
	/** Stops the delivery of bytes; the peer is slowed down once the buffers are full. */
	pause(): void;
	resume(): void;
};

/**
 * Bytes for all readers in one turn. Responses may consist of units of a few bytes each, such as events, chunks or
 * interim responses, and each unit takes time to parse.
 */
const maxSharedBytesPerTurn = 4096;
/** Bytes that each reader gets besides, so that a flood does not hold up small responses. */
const ownBytesPerTurn = 1024;

/** Creates a budget for the sockets of a client. */
export function createReadBudget(): ReadBudget {
	let leftBytes = maxSharedBytesPerTurn;
	let isTurnScheduled = false;
	return {
		take(wantedBytes) {
			if (!isTurnScheduled) {
				isTurnScheduled = true;
				setImmediate(() => {
					isTurnScheduled = false;
					leftBytes = maxSharedBytesPerTurn;
				});
			}

			const takenBytes = Math.min(wantedBytes, leftBytes);
			leftBytes -= takenBytes;
			return takenBytes;
		},
	};
}

/**
 * Limits the bytes that a reader gets from a socket in one turn of the event loop. The reader must use
 * `readable` events and `read()`, as undici does. Its own way of pausing is not used: undici fails an
 * assertion if the peer resets a connection whose parser is paused.
 */
export function paceReads(socket: Socket, budget: ReadBudget): PacedReads {
	const read = socket.read.bind(socket);
	let ownLeftBytes = ownBytesPerTurn;
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
				ownLeftBytes = ownBytesPerTurn;
				announceBytes();
			});
		}
	};

	/** Takes bytes from the reader's own share first, then from the budget. */
	const take = (wantedBytes: number): number => {
		const ownBytes = Math.min(wantedBytes, ownLeftBytes);
		ownLeftBytes -= ownBytes;
		return ownBytes + budget.take(wantedBytes - ownBytes);
	};

	socket.read = (sizeBytes?: number): unknown => {
		const availableBytes = sizeBytes ?? socket.readableLength;
		if (availableBytes === 0) {
			// Reading nothing makes the stream fetch more, or report its end.
			return read(sizeBytes);
		}

		scheduleTurn();
		const grantedBytes = isPaused ? 0 : take(availableBytes);
		return grantedBytes === 0 ? null : read(grantedBytes);
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
