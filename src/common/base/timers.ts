import type {Disposable} from './disposable.js';

/** Delayed tasks. Decisions that must act later receive timers instead of starting their own. */
export abstract class Timers {
	/** Resolves after a delay in milliseconds. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.after(delayMs, resolve);
		});
	}

	/**
	 * Runs a task once.
	 * @param delayMs - delay in milliseconds; negative values count as 0
	 * @returns disposing it cancels the task
	 */
	abstract after(delayMs: number, run: () => void): Disposable;
}
