import type {Clock} from '../../common/index.js';
import type {RelayMetrics} from './types.js';

/** Takes the measures of one stream. */
export type StreamMetricsRecorder = {
	/** @param silenceMs - time since the token before, undefined for the first and after a pause */
	recordToken(clock: Clock, silenceMs: number | undefined): void;
	recordFinish(nowMs: number): void;
};

/**
 * Creates the measure of a stream.
 * @param startedMs - monotonic time of the request in milliseconds
 * @param stallThresholdMs - the part of a gap beyond this counts as stall time
 */
export function createStreamMetricsRecorder(
	metrics: RelayMetrics,
	startedMs: number,
	stallThresholdMs: number,
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
				if (silenceMs > stallThresholdMs) {
					stallMs += silenceMs - stallThresholdMs;
				}
			}
		},
		recordFinish(nowMs) {
			metrics.finished(nowMs - startedMs, stallMs);
		},
	};
}
