import type {Disposable} from './disposable.js';
import type {Timers} from './timers.js';

/** A task that runs at intervals. */
export type RepeatedTask = {
	/** Time until the next run, in milliseconds; called before each run. */
	readonly intervalMs: () => number;
	readonly run: () => void;
	/** Called with the error of a failed run; the next run is scheduled nevertheless. */
	readonly onError: (error: unknown) => void;
};

/**
 * Runs a task at intervals, for the first time after one interval. An error is reported to `onError` and
 * does not cancel the schedule, since nothing else would start the task again.
 * @returns disposable that cancels the task
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
