/**
 * Collects bytes that arrive in pieces of any size. It copies them into one buffer, since a piece that is kept
 * costs an object and the whole buffer from which it was cut.
 */
export type ByteAccumulator = {
	/** Number of bytes collected. */
	readonly lengthBytes: number;
	/** Memory in use, in bytes. */
	readonly capacityBytes: number;
	append(piece: Uint8Array): void;
	/** Returns the collected bytes and starts anew. */
	take(): Uint8Array;
};

const minCapacityBytes = 256;
const growthFactor = 2;

/** Creates an accumulator without bytes. */
export function createByteAccumulator(): ByteAccumulator {
	let buffer = new Uint8Array(0);
	let lengthBytes = 0;

	const reserve = (neededBytes: number) => {
		if (neededBytes <= buffer.length) {
			return;
		}

		const larger = new Uint8Array(
			Math.max(minCapacityBytes, buffer.length * growthFactor, neededBytes),
		);
		larger.set(buffer.subarray(0, lengthBytes));
		buffer = larger;
	};

	return {
		get lengthBytes() {
			return lengthBytes;
		},
		get capacityBytes() {
			return buffer.length;
		},
		append(piece) {
			reserve(lengthBytes + piece.length);
			buffer.set(piece, lengthBytes);
			lengthBytes += piece.length;
		},
		take() {
			const collected = buffer.subarray(0, lengthBytes);
			buffer = new Uint8Array(0);
			lengthBytes = 0;
			return collected;
		},
	};
}
