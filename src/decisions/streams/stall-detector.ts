import type {Clock, Disposable, Timers} from '../../common/index.js';
import type {RelayLimits} from './relay-limits.js';

/** Finds links that are silent for longer than the stream's own pace explains. */
export type StallDetector = {
	/** Time since a token came or reading began, over all links, in milliseconds. */
	readonly silenceMs: number;
	/** A link was opened. */
	connectionOpened(): void;
	/**
	 * A token came in order. Sets no timer but at the first token.
	 * @returns time since the token before in milliseconds, undefined for the first and after a pause
	 */
	tokenReceived(): number | undefined;
	/** The caller is slow: silence is its own doing until `resumed`. */
	pause(): void;
	resume(): void;
	/** The link was closed. */
	connectionClosed(): void;
};

/** What a watch needs. */
export type StallDetectorOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly limits: RelayLimits;
	readonly onStalled: () => void;
};

const smoothing = 0.125;

/** Creates a watch; no link is open. */
export function createStallDetector(
	options: StallDetectorOptions,
): StallDetector {
	const {clock, timers, limits} = options;
	let lastTokenMs: number | undefined;
	let gapMs = 0;
	let stalls = 0;
	let isPaused = false;
	let linkSinceMs = clock.nowMs();
	let silentSinceMs = linkSinceMs;
	let timer: Disposable | undefined;

	const limitMs = () => {
		const ownMs =
			lastTokenMs === undefined && gapMs === 0
				? limits.firstTokenStallMs
				: Math.max(
						limits.stallMinMs,
						Math.min(limits.stallMaxMs, limits.stallFactor * gapMs),
					);
		// An engine that preempted the generation is silent too; more links do not help then.
		return Math.min(ownMs * 2 ** stalls, Math.max(ownMs, limits.stallMaxMs));
	};

	const arm = () => {
		timer?.dispose();
		if (isPaused) {
			return;
		}

		const leftMs = linkSinceMs + limitMs() - clock.nowMs();
		timer = timers.after(Math.max(1, leftMs), () => {
			if (clock.nowMs() < linkSinceMs + limitMs()) {
				arm();
			} else {
				stalls++;
				options.onStalled();
			}
		});
	};

	return {
		get silenceMs() {
			return clock.nowMs() - silentSinceMs;
		},
		connectionOpened() {
			linkSinceMs = clock.nowMs();
			arm();
		},
		tokenReceived() {
			const nowMs = clock.nowMs();
			const isFirst = lastTokenMs === undefined;
			const silenceMs = isFirst ? undefined : nowMs - lastTokenMs!;
			// The tokens of one chunk come together; the pace is that of the chunks.
			if (silenceMs !== undefined && silenceMs > 0) {
				gapMs += gapMs === 0 ? silenceMs : (silenceMs - gapMs) * smoothing;
			}

			lastTokenMs = nowMs;
			linkSinceMs = nowMs;
			silentSinceMs = nowMs;
			stalls = 0;
			if (isFirst) {
				arm();
			}

			return silenceMs;
		},
		pause() {
			isPaused = true;
			timer?.dispose();
		},
		resume() {
			isPaused = false;
			lastTokenMs = undefined;
			linkSinceMs = clock.nowMs();
			silentSinceMs = linkSinceMs;
			arm();
		},
		connectionClosed() {
			timer?.dispose();
		},
	};
}
