import type {Clock} from '../../common/index.js';
import type {StreamResponse} from './stream-answer.js';

/** Detects a run that makes no progress. */
export type StallDetector = {
	/** Time since the last progress, in milliseconds. */
	readonly silentMs: number;
	/** Time after which the run counts as stalled, in milliseconds; negative once it does. */
	readonly untilStallMs: number;
	/** Number of times that the run has made progress; it tells whether two moments lie in the same pause. */
	readonly progressCount: number;
	/** Records that the run was started or has made progress. */
	progressed(): void;
};

/** Shortest pause between events that counts as a stall, in milliseconds. */
const minStallMs = 900;
/** Shortest time without a first event that counts as a stall, in milliseconds. */
const minFirstEventStallMs = 4000;
/** Multiple of the run's longest pause so far that doesn't count as a stall yet. */
const pauseFactor = 2;

/** Creates a detector for a run that starts now. */
export function createStallDetector(
	clock: Clock,
	response: Pick<StreamResponse, 'eventCount' | 'eventTiming'>,
): StallDetector {
	let progressedMs = clock.nowMs();
	let progressCount = 0;
	const silentMs = () => clock.nowMs() - progressedMs;

	return {
		get silentMs() {
			return silentMs();
		},
		get progressCount() {
			return progressCount;
		},
		get untilStallMs() {
			// A run that has resumed after a long pause may pause as long again.
			const limitMs =
				response.eventCount > 0
					? Math.max(
							minStallMs,
							response.eventTiming.longestGapMs * pauseFactor,
						)
					: minFirstEventStallMs;
			return limitMs - silentMs();
		},
		progressed() {
			progressedMs = clock.nowMs();
			progressCount++;
		},
	};
}
