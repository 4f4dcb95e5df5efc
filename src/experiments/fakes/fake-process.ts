import {type Disposable, Timers} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** State of a simulated process. */
export type ProcessState = 'running' | 'paused' | 'crashed';

/** A fault that hits a process when it reaches a step boundary. */
export type StepFault = {
	/** Number of the boundary, starting at 0. */
	readonly atStep: number;
	readonly kind: 'crash' | 'pause';
	/** Length of a pause, in milliseconds. */
	readonly pauseMs: number;
};

/**
 * A simulated process. Its steps begin and end where it calls the outside world or is called by a
 * timer; a fault may hit it at each of these boundaries. After a crash its promises never settle;
 * during a pause they settle when it resumes.
 */
export class FakeProcess extends Timers {
	private current: ProcessState = 'running';
	private stepCount = 0;
	private readonly faults: StepFault[] = [];
	private readonly waiting: Array<() => void> = [];

	constructor(
		private readonly time: VirtualTime,
		private readonly onFault: (kind: StepFault['kind']) => void = () =>
			undefined,
	) {
		super();
	}

	get state(): ProcessState {
		return this.current;
	}

	/** Boundaries reached so far. */
	get steps(): number {
		return this.stepCount;
	}

	/** Plans a fault at a step boundary. */
	planFault(fault: StepFault): void {
		this.faults.push(fault);
	}

	/** Forgets the planned faults that were not reached. */
	clearFaults(): void {
		this.faults.length = 0;
	}

	crash(): void {
		if (this.current !== 'crashed') {
			this.current = 'crashed';
			this.waiting.length = 0;
			this.onFault('crash');
		}
	}

	/** @param pauseMs - length of the pause in milliseconds */
	pause(pauseMs: number): void {
		if (this.current === 'running') {
			this.current = 'paused';
			this.onFault('pause');
			this.time.after(pauseMs, () => {
				this.resume();
			});
		}
	}

	/** Ends a pause at once. */
	resume(): void {
		if (this.current === 'paused') {
			this.current = 'running';
			for (const resolve of this.waiting.splice(0)) {
				resolve();
			}
		}
	}

	/** Passes a step boundary: at once, when the process resumes, or never. */
	async step(): Promise<void> {
		const step = this.stepCount++;
		for (const fault of this.faults) {
			if (fault.atStep === step) {
				this.hit(fault);
			}
		}

		if (this.current !== 'running') {
			await new Promise<void>((resolve) => {
				if (this.current === 'paused') {
					this.waiting.push(resolve);
				}
			});
		}
	}

	/** Makes a call to the outside world, with a step boundary before and after it. */
	async run<T>(call: () => Promise<T>): Promise<T> {
		await this.step();
		let value: T;
		try {
			value = await call();
		} catch (error) {
			await this.step();
			throw error;
		}

		await this.step();
		return value;
	}

	override after(delayMs: number, run: () => void): Disposable {
		let cancelled = false;
		const timer = this.time.after(delayMs, () => {
			void this.step().then(() => {
				if (!cancelled) {
					run();
				}
			});
		});
		return {
			dispose() {
				cancelled = true;
				timer.dispose();
			},
		};
	}

	/** Wraps an outside system so that this process makes every call to it in steps. */
	wrap<T extends object>(system: T): T {
		return new Proxy(system, {
			get: (target, name) => {
				const member = Reflect.get(target, name) as unknown;
				return typeof member === 'function'
					? async (...values: unknown[]) =>
							this.run(
								async () =>
									Reflect.apply(member, target, values) as Promise<unknown>,
							)
					: member;
			},
		});
	}

	private hit(fault: StepFault): void {
		if (fault.kind === 'crash') {
			this.crash();
		} else {
			this.pause(fault.pauseMs);
		}
	}
}
