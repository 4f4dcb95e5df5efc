import type {Clock, Disposable, Timers} from '../../common/index.js';
import type {RelayLimits} from './relay-limits.js';

/**
 * Detects connections that are silent for much longer than the usual time between tokens of their stream.
 */
export type StallDetector = {
	/**
	 * Time since the last token, or since reading began or resumed, over all connections, in milliseconds.
	 */
	readonly silenceMs: number;
	connectionOpened(): void;
	/**
	 * Records a token that was received in order. Only the first token sets a timer, which keeps the cost
	 * of a token low.
	 * @returns time since the previous token in milliseconds; undefined for the first and after a pause
	 */
	tokenReceived(): number | undefined;
	/** Stops detection until `resume`: reading is paused because the caller applies backpressure. */
	pause(): void;
	resume(): void;
	connectionClosed(): void;
};

export type StallDetectorOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly limits: RelayLimits;
	/** Called when the open connection has stalled. */
	readonly onStalled: () => void;
};

// Weight of the newest gap in the mean time between tokens.
const smoothing = 0.125;

/** Creates a detector without an open connection. */
export function createStallDetector(
	options: StallDetectorOptions,
): StallDetector {
	const {clock, timers, limits} = options;
	let lastTokenMs: number | undefined;
	let meanTokenIntervalMs = 0;
	let consecutiveStalls = 0;
	let isPaused = false;
	let connectionActiveMs = clock.nowMs();
	let silentSinceMs = connectionActiveMs;
	let timer: Disposable | undefined;

	const limitMs = () => {
		const ownMs =
			lastTokenMs === undefined && meanTokenIntervalMs === 0
				? limits.firstTokenStallMs
				: Math.max(
						limits.stallMinMs,
						Math.min(
							limits.stallMaxMs,
							limits.stallFactor * meanTokenIntervalMs,
						),
					);
		// A generation that its engine has preempted is silent as well, and new connections do not help then,
		// so the limit doubles with each stall, up to `stallMaxMs` or the initial limit if that is larger.
		return Math.min(
			ownMs * 2 ** consecutiveStalls,
			Math.max(ownMs, limits.stallMaxMs),
		);
	};

	const arm = () => {
		timer?.dispose();
		if (isPaused) {
			return;
		}

		const leftMs = connectionActiveMs + limitMs() - clock.nowMs();
		timer = timers.after(Math.max(1, leftMs), () => {
			if (clock.nowMs() < connectionActiveMs + limitMs()) {
				arm();
			} else {
				consecutiveStalls++;
				options.onStalled();
			}
		});
	};

	return {
		get silenceMs() {
			return clock.nowMs() - silentSinceMs;
		},
		connectionOpened() {
			connectionActiveMs = clock.nowMs();
			arm();
		},
		tokenReceived() {
			const nowMs = clock.nowMs();
			const isFirst = lastTokenMs === undefined;
			const silenceMs = isFirst ? undefined : nowMs - lastTokenMs!;
			// Tokens of one chunk arrive at the same time; only the gaps between chunks count.
			if (silenceMs !== undefined && silenceMs > 0) {
				meanTokenIntervalMs +=
					meanTokenIntervalMs === 0
						? silenceMs
						: (silenceMs - meanTokenIntervalMs) * smoothing;
			}

			lastTokenMs = nowMs;
			connectionActiveMs = nowMs;
			silentSinceMs = nowMs;
			consecutiveStalls = 0;
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
			connectionActiveMs = clock.nowMs();
			silentSinceMs = connectionActiveMs;
			arm();
		},
		connectionClosed() {
			timer?.dispose();
		},
	};
}
