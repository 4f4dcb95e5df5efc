import {type Disposable, Timers} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** State of a simulated process. */
export type ProcessState = 'running' | 'paused' | 'crashed';

/** Fault that hits a process when it reaches a step boundary. */
export type StepFault = {
	/** Number of the boundary, starting at 0. */
	readonly atStep: number;
	readonly kind: 'crash' | 'pause';
	/** Length of a pause, in milliseconds; ignored for a crash. */
	readonly pauseMs: number;
};

/**
 * Simulated process that can crash and pause at step boundaries. A boundary lies before and after
 * each call to another system, and before each timer callback. After a crash, calls and timers that
 * reach a boundary never continue; during a pause they continue when the process resumes.
 */
export class FakeProcess extends Timers {
	private currentState: ProcessState = 'running';
	private stepCount = 0;
	private readonly faults: StepFault[] = [];
	private readonly pausedSteps: Array<() => void> = [];

	constructor(
		private readonly time: VirtualTime,
		private readonly onFault: (kind: StepFault['kind']) => void = () =>
			undefined,
	) {
		super();
	}

	get state(): ProcessState {
		return this.currentState;
	}

	/** Number of boundaries reached so far. */
	get steps(): number {
		return this.stepCount;
	}

	/** Plans a fault at a step boundary. */
	planFault(fault: StepFault): void {
		this.faults.push(fault);
	}

	/** Removes the planned faults. */
	clearFaults(): void {
		this.faults.length = 0;
	}

	crash(): void {
		if (this.currentState !== 'crashed') {
			this.currentState = 'crashed';
			this.pausedSteps.length = 0;
			this.onFault('crash');
		}
	}

	/** @param pauseMs - length of the pause in milliseconds */
	pause(pauseMs: number): void {
		if (this.currentState === 'running') {
			this.currentState = 'paused';
			this.onFault('pause');
			this.time.after(pauseMs, () => {
				this.resume();
			});
		}
	}

	/** Ends a pause before its time is over; has no effect otherwise. */
	resume(): void {
		if (this.currentState === 'paused') {
			this.currentState = 'running';
			for (const resolve of this.pausedSteps.splice(0)) {
				resolve();
			}
		}
	}

	/**
	 * Passes a step boundary, applying the faults planned for it. Resolves at once while the process is
	 * running, on `resume` after a pause, and never after a crash.
	 */
	async step(): Promise<void> {
		const step = this.stepCount++;
		for (const fault of this.faults) {
			if (fault.atStep === step) {
				this.applyFault(fault);
			}
		}

		if (this.currentState !== 'running') {
			await new Promise<void>((resolve) => {
				if (this.currentState === 'paused') {
					this.pausedSteps.push(resolve);
				}
			});
		}
	}

	/** Calls another system, with a step boundary before the call and after its result or error. */
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

	/** Wraps the client of another system so that each of its method calls goes through `run`. */
	wrap<T extends object>(system: T): T {
		return new Proxy(system, {
			get: (target, name) => {
				const member = Reflect.get(target, name) as unknown;
				return typeof member === 'function'
					? async (...parameters: unknown[]) =>
							this.run(
								async () =>
									Reflect.apply(member, target, parameters) as Promise<unknown>,
							)
					: member;
			},
		});
	}

	private applyFault(fault: StepFault): void {
		if (fault.kind === 'crash') {
			this.crash();
		} else {
			this.pause(fault.pauseMs);
		}
	}
}
