import type {Disposable, Timers} from '../../common/index.js';

/** Generations whose callers disconnected; each is cancelled when its resume window ends. */
export type PendingCancellations = {
	readonly count: number;
	/**
	 * Schedules the cancellation of a generation.
	 * @param windowMs - resume window in milliseconds
	 * @param onExpired - called when the window ends
	 * @param onDropped - called instead if the cancellation is dropped: the caller has resumed through this
	 * daemon, the generation was added again, or `discardAll` was called
	 */
	add(
		generationId: string,
		windowMs: number,
		onExpired: () => void,
		onDropped: () => void,
	): void;
	/** The caller of a generation has reconnected to this daemon: the cancellation is dropped. */
	callerReturned(generationId: string): void;
	/**
	 * Drops all cancellations, for a graceful stop: the callers may still resume through another entry
	 * VM.
	 */
	discardAll(): void;
};

type Pending = {readonly timer: Disposable; readonly onDropped: () => void};

/** Creates an empty set. */
export function createPendingCancellations(
	timers: Timers,
): PendingCancellations {
	const pending = new Map<string, Pending>();

	const drop = (generationId: string) => {
		const found = pending.get(generationId);
		if (found) {
			pending.delete(generationId);
			found.timer.dispose();
			found.onDropped();
		}
	};

	return {
		get count() {
			return pending.size;
		},
		add(generationId, windowMs, onExpired, onDropped) {
			drop(generationId);
			const timer = timers.after(windowMs, () => {
				pending.delete(generationId);
				onExpired();
			});
			pending.set(generationId, {timer, onDropped});
		},
		callerReturned: drop,
		discardAll() {
			for (const generationId of pending.keys()) {
				drop(generationId);
			}
		},
	};
}
