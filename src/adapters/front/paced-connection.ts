import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';

export type PacedConnectionOptions = {
	/** False while an earlier request of this connection is not answered and read. */
	readonly mayDeliver: () => boolean;
	/** False once the VM has no memory for more bytes of this connection. */
	readonly mayReceive: () => boolean;
	/** True while the caller still sends the body of a request. */
	readonly isReceivingBody: () => boolean;
	/**
	 * Called when bytes have arrived or were delivered.
	 * @param heldBytes - size of the buffer of the bytes that were received but not delivered
	 * @param deliveredBytes - bytes delivered since the last call
	 */
	readonly onProgress: (heldBytes: number, deliveredBytes: number) => void;
};

/** A connection of which an HTTP parser gets at most one request at a time. */
export type PacedConnection = {
	/** Takes the place of the socket for an HTTP server. */
	readonly stream: Duplex;
	/** Stops the timeout that the HTTP server or a response has set. */
	clearTimeout(): void;
	/** Declares how many of the next bytes are the body of the request just delivered. */
	expectBody(lengthBytes: number): void;
	/** Delivers what may be delivered now; called when `mayDeliver` may have become true. */
	update(): void;
	/** Closes the connection at once; what has not been delivered is dropped. */
	close(): void;
};

/**
 * Time for which the rest of a body is read and dropped after the response, in milliseconds. Closing a connection
 * with unread bytes resets it, and the caller may then lose the response.
 */
const lingerMs = 1000;
/** Largest piece delivered outside of a body of known length, in bytes; a head of usual size fits in. */
const maxPieceBytes = 2048;
/** Size of the buffer of bytes that wait, at most, as a multiple of their number. */
const maxBufferFactor = 2;
/** The blank line at the end of a head or of a chunked body. */
const headEnd = '\n\r\n';

/** @returns length of the next piece: it ends with the first head or chunked body that ends in it */
function nextPieceBytes(held: Buffer, bodyBytes: number): number {
	if (bodyBytes > 0) {
		return Math.min(held.length, bodyBytes);
	}

	const piece = held.subarray(0, maxPieceBytes);
	const end = piece.indexOf(headEnd);
	return end === -1 ? piece.length : end + headEnd.length;
}

/**
 * Moves bytes to a buffer of their own size if they keep a much larger one in memory: a socket is read in pieces
 * of up to 64 KB, of which a few bytes may wait for long.
 */
function compact(bytes: Buffer): Buffer {
	if (bytes.length * maxBufferFactor >= bytes.buffer.byteLength) {
		return bytes;
	}

	const copy = Buffer.allocUnsafeSlow(bytes.length);
	bytes.copy(copy);
	return copy;
}

/** Writes several pieces at once, and calls back after the last of them. */
function writeAll(
	socket: Socket,
	pieces: ReadonlyArray<{chunk: Buffer}>,
	done: (error?: Error | null) => void,
) {
	socket.cork();
	for (const [index, {chunk}] of pieces.entries()) {
		const isLast = index === pieces.length - 1;
		socket.write(chunk, isLast ? done : undefined);
	}

	socket.uncork();
}

/**
 * Adds the methods of a socket that an HTTP server uses besides those of a stream.
 * @param close - closes the connection once all responses are sent
 */
function addSocketMethods(stream: Duplex, socket: Socket, close: () => void) {
	Object.assign(stream, {
		setTimeout(timeoutMs: number) {
			socket.setTimeout(timeoutMs);
			return stream;
		},
		destroySoon() {
			stream.end();
			if (stream.writableFinished) {
				close();
			} else {
				stream.once('finish', close);
			}
		},
	});
	socket.on('timeout', () => {
		stream.emit('timeout');
	});
}

/**
 * Puts a stream before a socket. Node's HTTP parser turns all bytes that it gets into requests, each of
 * which costs several objects; the stream gives it one request at a time and stops reading from a
 * socket whose caller sends ahead. Without bytes that wait the socket is read, so that the end of the
 * connection is noticed.
 */
export function createPacedConnection(
	socket: Socket,
	{mayDeliver, mayReceive, isReceivingBody, onProgress}: PacedConnectionOptions,
): PacedConnection {
	let held: Buffer | undefined;
	let bodyBytes = 0;
	let hasEnded = false;
	let isDelivering = false;
	/** True once the last response is sent; the bytes that still arrive are dropped. */
	let isLingering = false;

	const stream = new Duplex({
		read() {
			// The socket's events and `resume` of the stream cause the delivery.
		},
		write(chunk: Buffer, _encoding, done) {
			socket.write(chunk, done);
		},
		writev(pieces, done) {
			writeAll(socket, pieces, done);
		},
		final(done) {
			socket.end(done);
		},
		destroy(error, done) {
			held = undefined;
			socket.destroy();
			done(error);
		},
	});

	const isAccepting = () =>
		stream.readableFlowing === true &&
		stream.readableLength === 0 &&
		!stream.destroyed &&
		!stream.writableEnded &&
		mayDeliver();

	const deliverPiece = (bytes: Buffer) => {
		const pieceBytes = nextPieceBytes(bytes, bodyBytes);
		bodyBytes = Math.max(0, bodyBytes - pieceBytes);
		held =
			pieceBytes < bytes.length
				? compact(bytes.subarray(pieceBytes))
				: undefined;
		stream.push(bytes.subarray(0, pieceBytes));
		onProgress(held?.buffer.byteLength ?? 0, pieceBytes);
	};

	const deliver = () => {
		for (let next = held; next && isAccepting(); next = held) {
			deliverPiece(next);
		}

		if (held !== undefined || stream.destroyed) {
			return;
		}

		if (hasEnded) {
			stream.push(null);
		} else if (stream.readableFlowing === true && mayReceive()) {
			socket.resume();
		}
	};

	const update = () => {
		if (isDelivering) {
			return;
		}

		isDelivering = true;
		try {
			deliver();
		} finally {
			isDelivering = false;
		}
	};

	const close = () => {
		if (!isReceivingBody() || stream.destroyed) {
			stream.destroy();
			return;
		}

		isLingering = true;
		held = undefined;
		const timeout = setTimeout(() => {
			stream.destroy();
		}, lingerMs);
		stream.once('close', () => {
			clearTimeout(timeout);
		});
		socket.resume();
	};

	addSocketMethods(stream, socket, close);
	stream.on('resume', update);
	stream.on('pause', () => {
		socket.pause();
	});
	socket.pause();
	socket.on('data', (bytes: Buffer) => {
		if (isLingering) {
			return;
		}

		socket.pause();
		held = bytes;
		onProgress(bytes.buffer.byteLength, 0);
		update();
	});
	socket.on('end', () => {
		hasEnded = true;
		if (isLingering) {
			stream.destroy();
		}

		update();
	});
	socket.on('error', (error) => {
		stream.destroy(error);
	});
	socket.on('close', () => {
		stream.destroy();
	});
	return {
		stream,
		expectBody(lengthBytes) {
			bodyBytes = lengthBytes;
		},
		update,
		clearTimeout() {
			socket.setTimeout(0);
		},
		close() {
			stream.destroy();
		},
	};
}
