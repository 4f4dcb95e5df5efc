import {concatBytes} from './concat-bytes.js';

/** One server-sent event, with its bytes as received. */
export type StreamEvent = {
	/** Number in the `id` field; undefined if there is none or it is not a number. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

/** Splits a stream of bytes into complete events. */
export type EventSplitter = {
	/** Size of the incomplete event at the end of the input, in bytes. */
	readonly pendingBytes: number;
	/** Adds bytes and returns the events that are complete now. */
	push(chunk: Uint8Array): readonly StreamEvent[];
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const latin1 = new TextDecoder('latin1');

function idOf(bytes: Uint8Array): number | undefined {
	const match = /^id: ?(\d+)\r?$/m.exec(latin1.decode(bytes));
	return match ? Number(match[1]) : undefined;
}

/** Finds blank lines in a stream of chunks; each byte is scanned once. */
function createBlankLineSearch() {
	let lineBytes = 0;
	let startsWithReturn = false;
	return {
		/** @returns index after the next blank line that ends in the chunk, or -1 */
		next(chunk: Uint8Array, fromIndex: number): number {
			let start = fromIndex;
			for (;;) {
				const end = chunk.indexOf(lineFeed, start);
				const partBytes = (end === -1 ? chunk.length : end) - start;
				if (lineBytes === 0 && partBytes > 0) {
					startsWithReturn = chunk[start] === carriageReturn;
				}

				lineBytes += partBytes;
				if (end === -1) {
					return -1;
				}

				const isBlank =
					lineBytes === 0 || (lineBytes === 1 && startsWithReturn);
				lineBytes = 0;
				start = end + 1;
				if (isBlank) {
					return start;
				}
			}
		},
	};
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
	const blankLines = createBlankLineSearch();
	let pendingChunks: Uint8Array[] = [];
	let pendingBytes = 0;

	const takeEvent = (lastPart: Uint8Array): StreamEvent => {
		const bytes =
			pendingChunks.length === 0
				? lastPart
				: concatBytes([...pendingChunks, lastPart]);
		pendingChunks = [];
		pendingBytes = 0;
		return {id: idOf(bytes), bytes};
	};

	return {
		get pendingBytes() {
			return pendingBytes;
		},
		push(chunk) {
			const events: StreamEvent[] = [];
			let start = 0;
			for (;;) {
				const end = blankLines.next(chunk, start);
				if (end === -1) {
					break;
				}

				events.push(takeEvent(chunk.subarray(start, end)));
				start = end;
			}

			if (start < chunk.length) {
				pendingChunks.push(chunk.subarray(start));
				pendingBytes += chunk.length - start;
			}

			return events;
		},
	};
}
