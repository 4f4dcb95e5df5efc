import type {Disposable} from './disposable.js';
import type {Timers} from './timers.js';

/** A task that is done again and again. */
export type RepeatedTask = {
	/** Time until the next run, in milliseconds; asked before each. */
	readonly intervalMs: () => number;
	readonly run: () => void;
	/** A run has failed; the next one comes all the same. */
	readonly onError: (error: unknown) => void;
};

/**
 * Runs a task at intervals, for the first time after one of them. An error ends only the run in which
 * it comes, since nothing else would start the task again.
 * @returns disposing it ends the task
 */
export function repeat(
	timers: Timers,
	{intervalMs, run, onError}: RepeatedTask,
): Disposable {
	let timer: Disposable | undefined;
	let isDisposed = false;

	const attempt = () => {
		try {
			run();
		} catch (error) {
			onError(error);
		}
	};

	const schedule = () => {
		timer = timers.after(intervalMs(), () => {
			attempt();
			if (!isDisposed) {
				schedule();
			}
		});
	};

	schedule();
	return {
		dispose() {
			isDisposed = true;
			timer?.dispose();
		},
	};
}
