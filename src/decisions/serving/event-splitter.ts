import {concatBytes} from './concat-bytes.js';

/** One event of a stream, as it stands on the wire. */
export type StreamEvent = {
	/** Number in its `id` line, if it has one. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

/** Cuts a stream of bytes into whole events. */
export type EventSplitter = {
	/** Size of the event of which only part was taken in, in bytes. */
	readonly pendingBytes: number;
	/** Takes bytes in and returns the events that are whole now. */
	push(chunk: Uint8Array): readonly StreamEvent[];
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const latin1 = new TextDecoder('latin1');

function idOf(bytes: Uint8Array): number | undefined {
	const match = /^id: ?(\d+)\r?$/m.exec(latin1.decode(bytes));
	return match ? Number(match[1]) : undefined;
}

/** Finds blank lines in a stream of chunks; each byte is looked at once. */
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
	let rest: Uint8Array[] = [];
	let restBytes = 0;

	const takeEvent = (lastPart: Uint8Array): StreamEvent => {
		const bytes =
			rest.length === 0 ? lastPart : concatBytes([...rest, lastPart]);
		rest = [];
		restBytes = 0;
		return {id: idOf(bytes), bytes};
	};

	return {
		get pendingBytes() {
			return restBytes;
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
				rest.push(chunk.subarray(start));
				restBytes += chunk.length - start;
			}

			return events;
		},
	};
}
