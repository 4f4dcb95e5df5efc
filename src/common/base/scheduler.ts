import type {Disposable} from './disposable.js';

/** Runs work later. Decisions take it instead of timers, so that runs in virtual time are exact. */
export abstract class Scheduler {
	/**
	 * Runs a task once.
	 * @param delayMs - delay in milliseconds
	 * @returns disposing it before the task has run keeps the task from running
	 */
	abstract after(delayMs: number, run: () => void): Disposable;
}
