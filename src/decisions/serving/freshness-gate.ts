import type {Disposable, Event, Timers} from '../../common/index.js';

/** What the gate works with. */
export type FreshnessGateOptions = {
	readonly timers: Timers;
	/** True if what is known of the targets may be acted on. */
	readonly isFresh: () => boolean;
	/** What is known was confirmed anew. */
	readonly onConfirmed: Event<void>;
	/** Asks for a confirmation. */
	readonly refresh: () => void;
};

/** Holds requests until what is known of the targets is confirmed. */
export type FreshnessGate = {
	/**
	 * Runs now, once what is known is confirmed, or after a short while in any case.
	 * @returns disposing it ends the wait
	 */
	whenFresh(run: () => void): Disposable;
};

/** A store that can be reached answers in a small part of this time, in milliseconds. */
const maxHoldMs = 300;

/**
 * Creates a gate. Answers the pattern "a VM is paused while a target leaves": at its return the first
 * thing that it reads may be a request, before any timer or message tells it that time has passed.
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
						// It has run.
					},
				};
			}

			const go = () => {
				wait.dispose();
				run();
			};

			const timer = options.timers.after(maxHoldMs, go);
			const confirmed = options.onConfirmed(() => {
				if (options.isFresh()) {
					go();
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
