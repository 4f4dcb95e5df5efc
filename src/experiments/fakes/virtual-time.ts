import {Clock, type Disposable, type Timers} from '../../common/index.js';

type Task = {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
	cancelled: boolean;
};

const wallOriginMs = 1_700_000_000_000;

/** Virtual time: runs tasks in the order of their times and never waits. */
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

	/** Runs a task after a delay in milliseconds. */
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

	/** Resolves after a delay in milliseconds. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.after(delayMs, resolve);
		});
	}

	/**
	 * Runs tasks until a time, letting promises settle after each.
	 * @param untilMs - virtual time in milliseconds
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
