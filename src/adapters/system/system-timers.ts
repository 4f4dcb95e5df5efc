import {type Disposable, Timers} from '../../common/index.js';

/** Timers based on `setTimeout`. */
export class SystemTimers extends Timers {
	override after(delayMs: number, run: () => void): Disposable {
		const timer = setTimeout(run, Math.max(0, delayMs));
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	}
}
