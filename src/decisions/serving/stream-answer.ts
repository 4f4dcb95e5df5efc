import type {AnswerHead} from '../../common/index.js';
import type {StreamEvent} from './event-splitter.js';
import type {CallerReply} from './session-types.js';
import {createStreamPauses, type StreamPauses} from './stream-pauses.js';

/** What became of an event: passed on, left out since the caller has it, or not next in order. */
export type EventOutcome = 'forwarded' | 'repeated' | 'gap';

/** The answer as the caller gets it: each event once and in order, whichever run it is from. */
export type StreamAnswer = {
	readonly eventCount: number;
	/** Number of the last event that the caller has. */
	readonly lastEventId: number | undefined;
	readonly pauses: StreamPauses;
	take(event: StreamEvent, head: AnswerHead, nowMs: number): EventOutcome;
};

/**
 * Creates an answer without events.
 * @param arrivedMs - monotonic time at which the request arrived, in milliseconds
 */
export function createStreamAnswer(
	reply: CallerReply,
	arrivedMs: number,
): StreamAnswer {
	const pauses = createStreamPauses(arrivedMs);
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
		take({id, bytes}, head, nowMs) {
			if (id !== undefined && lastEventId !== undefined) {
				if (id <= lastEventId) {
					return 'repeated';
				}

				if (id > lastEventId + 1) {
					return 'gap';
				}
			}

			lastEventId = id ?? lastEventId;
			if (!reply.hasHead) {
				reply.begin(head);
			}

			eventCount++;
			pauses.note(nowMs);
			reply.data(bytes);
			return 'forwarded';
		},
	};
}
