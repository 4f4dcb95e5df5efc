import type {Clock} from '../../common/index.js';

/** Detects that this VM did not run for a while. */
export type PauseDetector = {
	/** Monotonic time at which this VM resumed after its last pause, in milliseconds; -Infinity before. */
	readonly resumedMs: number;
	/**
	 * Compares the time with that of the last check. To be called at a fixed interval, and by every
	 * callback that may be the first to run after a pause, since a timer may run later.
	 */
	check(): void;
};

/** Shortest gap between two checks that counts as a pause, in milliseconds; they come with each heartbeat. */
const pauseMs = 1800;

/** @param onPause - called with the length of a pause, in milliseconds */
export function createPauseDetector(
	clock: Clock,
	onPause: (pausedMs: number) => void,
): PauseDetector {
	let checkedMs = clock.nowMs();
	let resumedMs = -Infinity;
	return {
		get resumedMs() {
			return resumedMs;
		},
		check() {
			const nowMs = clock.nowMs();
			const gapMs = nowMs - checkedMs;
			checkedMs = nowMs;
			if (gapMs > pauseMs) {
				resumedMs = nowMs;
				onPause(Math.round(gapMs));
			}
		},
	};
}
