import {type Disposable, Scheduler} from '../../common/index.js';

/** Scheduler of the machine. Its timers do not keep the process alive. */
export class SystemScheduler extends Scheduler {
	override after(delayMs: number, run: () => void): Disposable {
		const timer = setTimeout(run, delayMs);
		timer.unref();
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	}
}
