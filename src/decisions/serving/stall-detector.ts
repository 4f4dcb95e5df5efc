import type {Clock} from '../../common/index.js';
import type {StreamResponse} from './stream-answer.js';

/** How long a run has been without progress. */
export type StallDetector = {
	readonly silentMs: number;
	/** True once the run counts as stalled. */
	readonly isStalled: boolean;
	/** The run was started, or has gone on. */
	progressed(): void;
};

/** Pause between events after which a run with a copy elsewhere is continued there, in milliseconds. */
const pauseLimitMs = 900;
/** Time without a first event after which a run with a copy elsewhere is continued there, in milliseconds. */
const firstEventLimitMs = 4000;
/** Multiple of the longest pause that a run has ended by itself, after which it counts as stalled. */
const pauseFactor = 2;

/** Creates the silence of a run that starts now. */
export function createStallDetector(
	clock: Clock,
	answer: Pick<StreamResponse, 'eventCount' | 'pauses'>,
): StallDetector {
	let progressedMs = clock.nowMs();
	const silentMs = () => clock.nowMs() - progressedMs;

	return {
		get silentMs() {
			return silentMs();
		},
		get isStalled() {
			// A run that has gone on after a pause may do so again.
			const limitMs =
				answer.eventCount > 0
					? Math.max(pauseLimitMs, answer.pauses.longestGapMs * pauseFactor)
					: firstEventLimitMs;
			return silentMs() > limitMs;
		},
		progressed() {
			progressedMs = clock.nowMs();
		},
	};
}
