import type {Disposable} from './disposable.js';

/** Schedules delayed tasks. Code in `decisions/` receives timers, so that tests can run it on virtual time. */
export abstract class Timers {
	/** Resolves after `delayMs` milliseconds. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.after(delayMs, resolve);
		});
	}

	/**
	 * Runs a task once, after a delay.
	 * @param delayMs - delay in milliseconds; negative values count as 0
	 * @returns disposable that cancels the task
	 */
	abstract after(delayMs: number, run: () => void): Disposable;
}
