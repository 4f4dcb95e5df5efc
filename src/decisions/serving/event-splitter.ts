import {createByteAccumulator} from '../../common/index.js';

/** Splits a stream of bytes into complete events, without decoding them. */
export type EventSplitter = {
	/** Size of the input after the last complete event, in bytes. */
	readonly pendingBytes: number;
	/** Memory that this part of the input takes, in bytes. */
	readonly memoryBytes: number;
	/** Adds bytes and returns the events that are complete now, each with the comments and blank lines before it. */
	push(chunk: Uint8Array): readonly Uint8Array[];
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;

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

	const takeEvent = (lastPart: Uint8Array): Uint8Array => {
		if (pending.lengthBytes === 0) {
			return lastPart;
		}

		pending.append(lastPart);
		return pending.take();
	};

	return {
		get pendingBytes() {
			return pending.lengthBytes;
		},
		get memoryBytes() {
			return pending.capacityBytes;
		},
		push(chunk) {
			const events: Uint8Array[] = [];
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
