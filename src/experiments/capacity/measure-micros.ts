import process from 'node:process';
import {Clock} from '../../common/index.js';

const warmUpCount = 5000;
const measuredCount = 50_000;

/** A clock that a measurement sets. */
export class SteppedClock extends Clock {
	timeMs = 0;

	override nowMs(): number {
		return this.timeMs;
	}

	override wallMs(): number {
		return this.timeMs;
	}
}

/** Measures the processor time of an action after a warm-up, in microseconds. */
export function measureMicros(run: () => void): number {
	for (let count = 0; count < warmUpCount; count++) {
		run();
	}

	const before = process.cpuUsage();
	for (let count = 0; count < measuredCount; count++) {
		run();
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / measuredCount;
}
