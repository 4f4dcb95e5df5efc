import {Clock} from '../../common/index.js';

type Task = {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
};

const minuteMs = 60_000;

/** Virtual time for millions of events: a binary heap without promises. */
export class EventQueue extends Clock {
	private readonly heap: Task[] = [];
	private currentMs = 0;
	private nextOrder = 0;

	override nowMs(): number {
		return this.currentMs;
	}

	/** Wall-clock time that begins at a full minute. */
	override wallMs(): number {
		return 28_000_000 * minuteMs + this.currentMs;
	}

	/** Runs a task after a delay in milliseconds. */
	after(delayMs: number, run: () => void): void {
		const task = {
			atMs: this.currentMs + delayMs,
			order: this.nextOrder++,
			run,
		};
		const {heap} = this;
		let index = heap.length;
		heap.push(task);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.before(task, heap[parent])) {
				break;
			}

			heap[index] = heap[parent];
			index = parent;
		}

		heap[index] = task;
	}

	/** Runs a task again and again. */
	every(intervalMs: number, firstDelayMs: number, run: () => void): void {
		const repeat = () => {
			run();
			this.after(intervalMs, repeat);
		};

		this.after(firstDelayMs, repeat);
	}

	/** Runs all tasks up to a time in milliseconds. */
	runUntil(untilMs: number): void {
		while (this.heap.length > 0 && this.heap[0].atMs <= untilMs) {
			const task = this.pop();
			this.currentMs = task.atMs;
			task.run();
		}

		this.currentMs = untilMs;
	}

	private before(a: Task, b: Task): boolean {
		return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
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
					this.before(heap[child + 1], heap[child])
				) {
					child++;
				}

				if (!this.before(heap[child], last)) {
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
