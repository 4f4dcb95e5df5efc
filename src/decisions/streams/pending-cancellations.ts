import type {Disposable, Timers} from '../../common/index.js';

/** Generations whose callers disconnected; each is cancelled when its resume window ends. */
export type PendingCancellations = {
	readonly count: number;
	/**
	 * Schedules the cancellation of a generation.
	 * @param windowMs - resume window in milliseconds
	 * @param onExpired - called when the window ends
	 * @param onReturned - called instead if the caller reconnects to this daemon, or on `discardAll`
	 */
	add(
		generationId: string,
		windowMs: number,
		onExpired: () => void,
		onReturned: () => void,
	): void;
	/** The caller of a generation has reconnected to this daemon: the cancellation is dropped. */
	callerReturned(generationId: string): void;
	/**
	 * Drops all cancellations, for a graceful stop: the callers may still resume through another entry
	 * VM.
	 */
	discardAll(): void;
};

type Pending = {readonly timer: Disposable; readonly onReturned: () => void};

/** Creates an empty set. */
export function createPendingCancellations(
	timers: Timers,
): PendingCancellations {
	const pending = new Map<string, Pending>();

	const callerReturned = (generationId: string) => {
		const found = pending.get(generationId);
		if (found) {
			pending.delete(generationId);
			found.timer.dispose();
			found.onReturned();
		}
	};

	return {
		get count() {
			return pending.size;
		},
		add(generationId, windowMs, onExpired, onReturned) {
			callerReturned(generationId);
			const timer = timers.after(windowMs, () => {
				pending.delete(generationId);
				onExpired();
			});
			pending.set(generationId, {timer, onReturned});
		},
		callerReturned,
		discardAll() {
			for (const generationId of pending.keys()) {
				callerReturned(generationId);
			}
		},
	};
}
