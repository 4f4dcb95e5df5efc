import {createByteAccumulator, type ResponseHead} from '../../common/index.js';
import type {StreamEvent} from './event-decoder.js';
import type {CallerResponse} from './session-types.js';
import {createStreamTiming, type StreamTiming} from './stream-timing.js';

/** The streamed response to the caller: each event is sent once and in order, from whichever run it comes. */
export type StreamResponse = {
	/** Number of events that the caller has received. */
	readonly eventCount: number;
	/** Id of the last event that the caller has received. */
	readonly lastEventId: number | undefined;
	readonly eventTiming: StreamTiming;
	/**
	 * Sends events in one piece, and before the first one the head. Events that the caller has are skipped.
	 * @returns the first event that is preceded by missing events; neither it nor those after it are sent
	 */
	forward(
		events: readonly StreamEvent[],
		head: ResponseHead,
		nowMs: number,
	): StreamEvent | undefined;
};

/** One write of many small events costs a fraction of as many writes. */
function joinBytes(events: readonly StreamEvent[]): Uint8Array {
	const [first, ...others] = events;
	if (others.length === 0) {
		return first.bytes;
	}

	const joined = createByteAccumulator();
	for (const {bytes} of events) {
		joined.append(bytes);
	}

	return joined.take();
}

/**
 * Creates a response without events.
 * @param arrivedMs - monotonic time at which the request arrived, in milliseconds
 * @param callerEventId - id of the last event that the caller has from an earlier request, 0 for none; undefined if
 *   the first event may have any id
 */
export function createStreamResponse(
	callerResponse: CallerResponse,
	arrivedMs: number,
	callerEventId: number | undefined,
): StreamResponse {
	const eventTiming = createStreamTiming(arrivedMs);
	let eventCount = 0;
	let lastEventId: number | undefined;

	/** Selects the events that the caller does not have, up to a gap. */
	const takeFresh = (events: readonly StreamEvent[]) => {
		const fresh: StreamEvent[] = [];
		let lastId = lastEventId ?? callerEventId;
		for (const event of events) {
			if (lastId !== undefined && event.id > lastId + 1) {
				return {fresh, gapBefore: event};
			}

			if (lastId === undefined || event.id > lastId) {
				lastId = event.id;
				fresh.push(event);
			}
		}

		return {fresh, gapBefore: undefined};
	};

	return {
		get eventCount() {
			return eventCount;
		},
		get lastEventId() {
			return lastEventId;
		},
		eventTiming,
		forward(events, head, nowMs) {
			const {fresh, gapBefore} = takeFresh(events);
			if (fresh.length > 0) {
				if (!callerResponse.isHeadSent) {
					callerResponse.startStream(head);
				}

				for (const {id} of fresh) {
					lastEventId = id;
					eventCount++;
					eventTiming.recordEvent(nowMs);
				}

				callerResponse.write(joinBytes(fresh));
			}

			return gapBefore;
		},
	};
}
