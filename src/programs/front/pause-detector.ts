import type {Clock} from '../../common/index.js';

/** Notices that this VM did not run for a while. */
export type PauseDetector = {
	/** Monotonic time since which this VM has run without a pause, in milliseconds. */
	readonly resumedMs: number;
	/** To be called regularly, and by whatever may run first after a pause; a timer may run later. */
	check(): void;
};

/** A longer gap between two heartbeats shows that this VM did not run. */
const pauseMs = 1800;

/** @param onPause - called with the length of a pause, in milliseconds */
export function createPauseDetector(
	clock: Clock,
	onPause: (pausedMs: number) => void,
): PauseDetector {
	let noticedMs = clock.nowMs();
	let resumedMs = -Infinity;
	return {
		get resumedMs() {
			return resumedMs;
		},
		check() {
			const nowMs = clock.nowMs();
			const gapMs = nowMs - noticedMs;
			noticedMs = nowMs;
			if (gapMs > pauseMs) {
				resumedMs = nowMs;
				onPause(Math.round(gapMs));
			}
		},
	};
}
