import {Clock} from '../../common/index.js';

type Task = {
	readonly atMs: number;
	/** Order of insertion, which decides between tasks due at the same time. */
	readonly sequence: number;
	readonly run: () => void;
};

const minuteMs = 60_000;

/** Virtual clock with a binary heap of tasks. It uses no promises, so that millions of events run fast. */
export class EventQueue extends Clock {
	private readonly heap: Task[] = [];
	private currentMs = 0;
	private nextSequence = 0;

	override nowMs(): number {
		return this.currentMs;
	}

	/** Returns a wall-clock time that is at a full minute when the virtual time is 0. */
	override wallMs(): number {
		return 28_000_000 * minuteMs + this.currentMs;
	}

	/** Schedules a task. */
	after(delayMs: number, run: () => void): void {
		const task = {
			atMs: this.currentMs + delayMs,
			sequence: this.nextSequence++,
			run,
		};
		const {heap} = this;
		let index = heap.length;
		heap.push(task);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.isBefore(task, heap[parent])) {
				break;
			}

			heap[index] = heap[parent];
			index = parent;
		}

		heap[index] = task;
	}

	/** Schedules a task that repeats at a fixed interval without end. */
	every(intervalMs: number, firstDelayMs: number, run: () => void): void {
		const repeat = () => {
			run();
			this.after(intervalMs, repeat);
		};

		this.after(firstDelayMs, repeat);
	}

	/** Runs all tasks that are due until a time, inclusive, and sets the clock to it. */
	runUntil(untilMs: number): void {
		while (this.heap.length > 0 && this.heap[0].atMs <= untilMs) {
			const task = this.pop();
			this.currentMs = task.atMs;
			task.run();
		}

		this.currentMs = untilMs;
	}

	private isBefore(a: Task, b: Task): boolean {
		return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
	}

	private pop(): Task {
		const {heap} = this;
		const [top] = heap;
		const last = heap.pop()!;
		if (heap.length > 0) {
			let index = 0;
			for (;;) {
				let child = 2 * index + 1;
				if (child >= heap.length) {
					break;
				}

				if (
					child + 1 < heap.length &&
					this.isBefore(heap[child + 1], heap[child])
				) {
					child++;
				}

				if (!this.isBefore(heap[child], last)) {
					break;
				}

				heap[index] = heap[child];
				index = child;
			}

			heap[index] = last;
		}

		return top;
	}
}
