/** Limit on the memory that several buffers use together. */
export type ByteBudget = {
	readonly usedBytes: number;
	/** @returns false, and takes nothing, if the limit would be exceeded */
	tryTake(sizeBytes: number): boolean;
	release(sizeBytes: number): void;
};

export function createByteBudget(limitBytes: number): ByteBudget {
	let usedBytes = 0;
	return {
		get usedBytes() {
			return usedBytes;
		},
		tryTake(sizeBytes) {
			if (usedBytes + sizeBytes > limitBytes) {
				return false;
			}

			usedBytes += sizeBytes;
			return true;
		},
		release(sizeBytes) {
			usedBytes -= sizeBytes;
		},
	};
}

/**
 * FIFO buffer for the first tokens of a response that is sent only once it is complete. After the first
 * token that does not fit it takes no more; those tokens have to be read from the engine again.
 */
export type TokenBuffer = {
	readonly isEmpty: boolean;
	/** Appends a token, unless it or an earlier one did not fit. */
	add(text: string): void;
	/** Removes and returns the oldest token; the buffer must not be empty. */
	take(): string;
	/** Removes all tokens; the buffer can then be used for another generation. */
	clear(): void;
};

// Estimated size of a string: two bytes for each character, plus its header and the reference to it.
const bytesPerCharacter = 2;
const bytesPerString = 40;

/**
 * Creates an empty buffer.
 * @param limitBytes - largest size of this buffer
 * @param budget - limit that all buffers of the daemon share
 */
export function createTokenBuffer(
	limitBytes: number,
	budget: ByteBudget,
): TokenBuffer {
	let texts: string[] = [];
	let firstIndex = 0;
	let usedBytes = 0;
	let isFull = false;
	const sizeOf = (text: string) =>
		bytesPerString + bytesPerCharacter * text.length;

	return {
		get isEmpty() {
			return firstIndex === texts.length;
		},
		add(text) {
			const sizeBytes = sizeOf(text);
			if (
				isFull ||
				usedBytes + sizeBytes > limitBytes ||
				!budget.tryTake(sizeBytes)
			) {
				isFull = true;
				return;
			}

			usedBytes += sizeBytes;
			texts.push(text);
		},
		take() {
			const text = texts[firstIndex];
			texts[firstIndex++] = '';
			const sizeBytes = sizeOf(text);
			usedBytes -= sizeBytes;
			budget.release(sizeBytes);
			return text;
		},
		clear() {
			budget.release(usedBytes);
			texts = [];
			firstIndex = 0;
			usedBytes = 0;
			isFull = false;
		},
	};
}
