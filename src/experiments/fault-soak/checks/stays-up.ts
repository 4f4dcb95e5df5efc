import type {Observations} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Processor time in which Node.js starts and cannot handle a signal yet, in milliseconds. */
const bootstrapCpuMs = 300;

/** No daemon ends by itself. */
export function checkStaysUp({incarnations}: Observations): Violation[] {
	return incarnations
		.filter(
			({ownEnd, signalledCpuMs}) =>
				ownEnd !== undefined &&
				!(ownEnd === 'SIGHUP' && signalledCpuMs < bootstrapCpuMs),
		)
		.map(({vm, ownEnd, startMs, endMs}) => ({
			promise: 'stays-up',
			detail: `the daemon of VM ${vm} ended by itself with ${ownEnd} after ${Math.round(endMs - startMs)} ms`,
		}));
}
