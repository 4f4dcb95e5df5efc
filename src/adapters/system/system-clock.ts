import {Clock} from '../../common/index.js';

/** Clock of the machine on which the process runs. */
export class SystemClock extends Clock {
	override nowMs(): number {
		return performance.now();
	}

	override wallMs(): number {
		return Date.now();
	}
}
