import type {ResponseHead} from '../../common/index.js';
import type {StreamEvent} from './event-splitter.js';
import type {CallerResponse} from './session-types.js';
import {createStreamTiming, type StreamTiming} from './stream-timing.js';

/** What became of an event: passed on, left out since the caller has it, or not next in order. */
export type EventOutcome = 'forwarded' | 'repeated' | 'gap';

/** The answer as the caller gets it: each event once and in order, whichever run it is from. */
export type StreamResponse = {
	readonly eventCount: number;
	/** Number of the last event that the caller has. */
	readonly lastEventId: number | undefined;
	readonly pauses: StreamTiming;
	forward(event: StreamEvent, head: ResponseHead, nowMs: number): EventOutcome;
};

/**
 * Creates an answer without events.
 * @param arrivedMs - monotonic time at which the request arrived, in milliseconds
 */
export function createStreamResponse(
	reply: CallerResponse,
	arrivedMs: number,
): StreamResponse {
	const pauses = createStreamTiming(arrivedMs);
	let eventCount = 0;
	let lastEventId: number | undefined;
	return {
		get eventCount() {
			return eventCount;
		},
		get lastEventId() {
			return lastEventId;
		},
		pauses,
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
			if (!reply.isHeadSent) {
				reply.startStream(head);
			}

			eventCount++;
			pauses.recordEvent(nowMs);
			reply.write(bytes);
			return 'forwarded';
		},
	};
}
