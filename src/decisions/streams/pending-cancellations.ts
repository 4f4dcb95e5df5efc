import type {Disposable, Timers} from '../../common/index.js';

/** Generations whose callers left and that are cancelled when their resume windows end. */
export type PendingCancellations = {
	readonly count: number;
	/**
	 * Waits for a caller to come back.
	 * @param windowMs - resume window in milliseconds
	 * @param onExpired - called when the window ends
	 * @param onReturned - called instead when the caller comes back to this daemon
	 */
	add(
		generationId: string,
		windowMs: number,
		onExpired: () => void,
		onReturned: () => void,
	): void;
	/** The caller came back through this daemon. */
	callerReturned(generationId: string): void;
	/**
	 * Forgets all of them without cancelling, for a planned stop: their callers may still come back
	 * through another entry VM.
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
