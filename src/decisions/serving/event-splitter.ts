import {joined} from './joined-bytes.js';

/** One event of a stream, as it stands on the wire. */
export type StreamEvent = {
	/** Number in its `id` line, if it has one. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

/** Cuts a stream of bytes into whole events. */
export type EventSplitter = {
	/** True if part of an event was taken in. */
	readonly hasRest: boolean;
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

/** Index after the blank line that ends the first event, or -1. */
function eventEnd(bytes: Uint8Array): number {
	let lineStart = 0;
	for (;;) {
		const end = bytes.indexOf(lineFeed, lineStart);
		if (end === -1) {
			return -1;
		}

		const isBlank =
			end === lineStart ||
			(end === lineStart + 1 && bytes[lineStart] === carriageReturn);
		if (isBlank) {
			return end + 1;
		}

		lineStart = end + 1;
	}
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
	let rest: Uint8Array = new Uint8Array();
	return {
		get hasRest() {
			return rest.length > 0;
		},
		push(chunk) {
			rest = rest.length === 0 ? chunk : joined([rest, chunk]);
			const events: StreamEvent[] = [];
			for (;;) {
				const end = eventEnd(rest);
				if (end === -1) {
					return events;
				}

				const bytes = rest.subarray(0, end);
				rest = rest.subarray(end);
				events.push({id: idOf(bytes), bytes});
			}
		},
	};
}
