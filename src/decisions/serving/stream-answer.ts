import type {ResponseHead} from '../../common/index.js';
import type {StreamEvent} from './event-splitter.js';
import type {CallerResponse} from './session-types.js';
import {createStreamTiming, type StreamTiming} from './stream-timing.js';

/** Whether an event was sent, was skipped since the caller has it, or is preceded by missing events. */
export type EventOutcome = 'forwarded' | 'repeated' | 'gap';

/** The streamed response to the caller: each event is sent once and in order, from whichever run it comes. */
export type StreamResponse = {
	/** Number of events that the caller has received. */
	readonly eventCount: number;
	/** Id of the last event that the caller has received. */
	readonly lastEventId: number | undefined;
	readonly eventTiming: StreamTiming;
	/** Sends an event, and before the first one the head, unless it is repeated or follows a gap. */
	forward(event: StreamEvent, head: ResponseHead, nowMs: number): EventOutcome;
};

/**
 * Creates a response without events.
 * @param arrivedMs - monotonic time at which the request arrived, in milliseconds
 */
export function createStreamResponse(
	callerResponse: CallerResponse,
	arrivedMs: number,
): StreamResponse {
	const eventTiming = createStreamTiming(arrivedMs);
	let eventCount = 0;
	let lastEventId: number | undefined;
	return {
		get eventCount() {
			return eventCount;
		},
		get lastEventId() {
			return lastEventId;
		},
		eventTiming,
		forward({id, bytes}, head, nowMs) {
			if (id !== undefined && lastEventId !== undefined) {
				if (id <= lastEventId) {
					return 'repeated';
				}

				if (id > lastEventId + 1) {
					return 'gap';
				}
			}

			lastEventId = id ?? lastEventId;
			if (!callerResponse.isHeadSent) {
				callerResponse.startStream(head);
			}

			eventCount++;
			eventTiming.recordEvent(nowMs);
			callerResponse.write(bytes);
			return 'forwarded';
		},
	};
}
