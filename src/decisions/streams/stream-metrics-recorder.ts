import type {Clock} from '../../common/index.js';
import type {RelayMetrics} from './types.js';

/** Records the token times and the stall time of one stream. */
export type StreamMetricsRecorder = {
	/** @param silenceMs - time since the previous token; undefined for the first and after a pause */
	recordToken(clock: Clock, silenceMs: number | undefined): void;
	/** Records a complete response. */
	recordFinish(nowMs: number): void;
};

/**
 * Creates a recorder.
 * @param startedMs - monotonic time of the request in milliseconds
 * @param stallTimeThresholdMs - time between two tokens that is not stall time; only the excess counts
 */
export function createStreamMetricsRecorder(
	metrics: RelayMetrics,
	startedMs: number,
	stallTimeThresholdMs: number,
): StreamMetricsRecorder {
	let hasFirst = false;
	let stallMs = 0;
	return {
		recordToken(clock, silenceMs) {
			if (!hasFirst) {
				hasFirst = true;
				metrics.firstToken(clock.nowMs() - startedMs);
			} else if (silenceMs !== undefined) {
				metrics.interTokenTime(silenceMs);
				if (silenceMs > stallTimeThresholdMs) {
					stallMs += silenceMs - stallTimeThresholdMs;
				}
			}
		},
		recordFinish(nowMs) {
			metrics.finished(nowMs - startedMs, stallMs);
		},
	};
}
