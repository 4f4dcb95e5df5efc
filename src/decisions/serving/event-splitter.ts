import {createByteAccumulator} from '../../common/index.js';

/** One server-sent event, with its bytes as received, and the comments and blank lines before it. */
export type StreamEvent = {
	/** Number in the `id` field; undefined if there is none or it is not a number. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

/** Splits a stream of bytes into complete events. */
export type EventSplitter = {
	/** Size of the input after the last complete event, in bytes. */
	readonly pendingBytes: number;
	/** Memory that this part of the input takes, in bytes. */
	readonly memoryBytes: number;
	/** Adds bytes and returns the events that are complete now. */
	push(chunk: Uint8Array): readonly StreamEvent[];
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const latin1 = new TextDecoder('latin1');

function idOf(bytes: Uint8Array): number | undefined {
	const match = /^id: ?(\d+)\r?$/m.exec(latin1.decode(bytes));
	return match ? Number(match[1]) : undefined;
}

/** Finds the ends of events in a stream of chunks; each byte is scanned once. */
function createEventEndSearch() {
	let lineBytes = 0;
	let firstByte = 0;
	/** True once a line since the last event is neither blank nor a comment. */
	let hasFields = false;

	/** @returns true if the line ends an event */
	const endLine = (): boolean => {
		const isBlank =
			lineBytes === 0 || (lineBytes === 1 && firstByte === carriageReturn);
		const isComment = lineBytes > 0 && firstByte === colon;
		lineBytes = 0;
		if (!isBlank) {
			hasFields ||= !isComment;
			return false;
		}

		const endsEvent = hasFields;
		hasFields = false;
		return endsEvent;
	};

	return {
		/** @returns index after the next event that ends in the chunk, or -1 */
		next(chunk: Uint8Array, fromIndex: number): number {
			let start = fromIndex;
			for (;;) {
				const end = chunk.indexOf(lineFeed, start);
				const partBytes = (end === -1 ? chunk.length : end) - start;
				if (lineBytes === 0 && partBytes > 0) {
					firstByte = chunk[start];
				}

				lineBytes += partBytes;
				if (end === -1) {
					return -1;
				}

				start = end + 1;
				if (endLine()) {
					return start;
				}
			}
		},
	};
}

/**
 * Creates a splitter at the start of a stream. Comments and blank lines are no events: they stay pending until
 * the next event, so that a stream of nothing else reaches the size limit of an event.
 */
export function createEventSplitter(): EventSplitter {
	const eventEnds = createEventEndSearch();
	const pending = createByteAccumulator();

	const takeEvent = (lastPart: Uint8Array): StreamEvent => {
		if (pending.lengthBytes === 0) {
			return {id: idOf(lastPart), bytes: lastPart};
		}

		pending.append(lastPart);
		const bytes = pending.take();
		return {id: idOf(bytes), bytes};
	};

	return {
		get pendingBytes() {
			return pending.lengthBytes;
		},
		get memoryBytes() {
			return pending.capacityBytes;
		},
		push(chunk) {
			const events: StreamEvent[] = [];
			let start = 0;
			for (;;) {
				const end = eventEnds.next(chunk, start);
				if (end === -1) {
					break;
				}

				events.push(takeEvent(chunk.subarray(start, end)));
				start = end;
			}

			if (start < chunk.length) {
				pending.append(chunk.subarray(start));
			}

			return events;
		},
	};
}
