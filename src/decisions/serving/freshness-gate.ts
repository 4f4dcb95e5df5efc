import type {Disposable, Event, Timers} from '../../common/index.js';

/** Options of a freshness gate. */
export type FreshnessGateOptions = {
	readonly timers: Timers;
	/** True if the known state of the targets is recent enough to route requests by it. */
	readonly isFresh: () => boolean;
	/** Fires when the known state was confirmed. */
	readonly onConfirmed: Event<void>;
	/** Requests a confirmation. */
	readonly refresh: () => void;
};

/** Delays requests until the known state of the targets is confirmed. */
export type FreshnessGate = {
	/**
	 * Calls `run` at once if the state is fresh, otherwise when it is confirmed or after `maxHoldMs`.
	 * @returns disposing it cancels the wait
	 */
	whenFresh(run: () => void): Disposable;
};

/** Longest delay of a request, in milliseconds; a reachable store responds in a fraction of this time. */
const maxHoldMs = 300;

/**
 * Creates a gate. It covers a VM that is paused while a target leaves: after the pause, the first event
 * that the VM processes may be a request, before any timer or message shows that time has passed, and
 * the request would be sent to a target that is gone.
 */
export function createFreshnessGate(
	options: FreshnessGateOptions,
): FreshnessGate {
	return {
		whenFresh(run) {
			if (options.isFresh()) {
				run();
				return {
					dispose() {
						// `run` has already been called.
					},
				};
			}

			const proceed = () => {
				wait.dispose();
				run();
			};

			const timer = options.timers.after(maxHoldMs, proceed);
			const confirmed = options.onConfirmed(() => {
				if (options.isFresh()) {
					proceed();
				}
			});
			const wait = {
				dispose() {
					timer.dispose();
					confirmed.dispose();
				},
			};
			options.refresh();
			return wait;
		},
	};
}
