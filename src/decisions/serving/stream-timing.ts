import type {DecisionRecord} from './session-types.js';

/** Measures when the events of a stream arrive. */
export type StreamTiming = {
	/** Longest pause between two events so far, in milliseconds. */
	readonly longestGapMs: number;
	/** An event was passed on. */
	recordEvent(nowMs: number): void;
	/** Time to the first event, and the longest pause with the event that ended it. */
	logFields(): DecisionRecord;
};

/**
 * Creates a measure without events.
 * @param arrivedMs - monotonic time at which the request arrived, in milliseconds
 */
export function createStreamTiming(arrivedMs: number): StreamTiming {
	let firstEventMs: number | undefined;
	let lastEventMs = 0;
	let count = 0;
	let longestGapMs = 0;
	let longestGapAt: number | undefined;
	return {
		get longestGapMs() {
			return longestGapMs;
		},
		recordEvent(nowMs) {
			count++;
			if (firstEventMs === undefined) {
				firstEventMs = nowMs - arrivedMs;
			} else if (nowMs - lastEventMs > longestGapMs) {
				longestGapMs = nowMs - lastEventMs;
				longestGapAt = count;
			}

			lastEventMs = nowMs;
		},
		logFields: () => ({
			firstEventMs:
				firstEventMs === undefined ? undefined : Math.round(firstEventMs),
			longestGapMs: Math.round(longestGapMs),
			longestGapAt,
		}),
	};
}
