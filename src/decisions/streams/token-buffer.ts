/** Memory that several owners share. */
export type ByteBudget = {
	readonly usedBytes: number;
	/** @returns false if the bytes do not fit */
	tryTake(sizeBytes: number): boolean;
	release(sizeBytes: number): void;
};

/** Creates an unused budget of a number of bytes. */
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

/** The first tokens of an answer that is held back; those that do not fit stay at the engine. */
export type TokenBuffer = {
	readonly isEmpty: boolean;
	/** Keeps a token unless one before it did not fit. */
	add(text: string): void;
	/** Takes the oldest token out. */
	take(): string;
	/** Drops everything; the buffer can be used for another generation. */
	clear(): void;
};

// Two bytes a character and the header and reference of a string.
const bytesPerCharacter = 2;
const bytesPerString = 40;

/**
 * Creates an empty buffer.
 * @param limitBytes - memory of this buffer
 * @param budget - memory that all buffers of the daemon share
 */
export function createTokenBuffer(
	limitBytes: number,
	budget: ByteBudget,
): TokenBuffer {
	let texts: string[] = [];
	let first = 0;
	let usedBytes = 0;
	let full = false;
	const sizeOf = (text: string) =>
		bytesPerString + bytesPerCharacter * text.length;

	return {
		get isEmpty() {
			return first === texts.length;
		},
		add(text) {
			const sizeBytes = sizeOf(text);
			if (
				full ||
				usedBytes + sizeBytes > limitBytes ||
				!budget.tryTake(sizeBytes)
			) {
				full = true;
				return;
			}

			usedBytes += sizeBytes;
			texts.push(text);
		},
		take() {
			const text = texts[first];
			texts[first++] = '';
			const sizeBytes = sizeOf(text);
			usedBytes -= sizeBytes;
			budget.release(sizeBytes);
			return text;
		},
		clear() {
			budget.release(usedBytes);
			texts = [];
			first = 0;
			usedBytes = 0;
			full = false;
		},
	};
}
