import {Clock, type Disposable, type Timers} from '../../common/index.js';

type Task = {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
	cancelled: boolean;
};

const wallOriginMs = 1_700_000_000_000;

/**
 * Clock and timers in virtual time: tasks run in the order of their due times, and those due at the
 * same time in the order of their scheduling, without real delays.
 */
export class VirtualTime extends Clock implements Timers {
	private readonly tasks: Task[] = [];
	private currentMs = 0;
	private nextOrder = 0;

	override nowMs(): number {
		return this.currentMs;
	}

	override wallMs(): number {
		return wallOriginMs + this.currentMs;
	}

	/**
	 * Schedules a task.
	 * @param delayMs - delay in virtual milliseconds; a negative one counts as 0
	 * @returns disposable that cancels the task
	 */
	after(delayMs: number, run: () => void): Disposable {
		const task: Task = {
			atMs: this.currentMs + Math.max(0, delayMs),
			order: this.nextOrder++,
			run,
			cancelled: false,
		};
		this.insert(task);
		return {
			dispose() {
				task.cancelled = true;
			},
		};
	}

	/** Resolves after a delay in virtual milliseconds. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.after(delayMs, resolve);
		});
	}

	/**
	 * Runs the tasks that are due until a time, and lets promises settle after each.
	 * @param untilMs - virtual time in milliseconds, inclusive
	 */
	async runUntil(untilMs: number): Promise<void> {
		await settlePromises();
		for (;;) {
			const task = this.tasks[0];
			if (!task || task.atMs > untilMs) {
				this.currentMs = Math.max(this.currentMs, untilMs);
				return;
			}

			this.tasks.shift();
			if (!task.cancelled) {
				this.currentMs = task.atMs;
				task.run();
				await settlePromises();
			}
		}
	}

	private insert(task: Task): void {
		let low = 0;
		let high = this.tasks.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.tasks[middle].atMs <= task.atMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.tasks.splice(low, 0, task);
	}
}

async function settlePromises(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}
