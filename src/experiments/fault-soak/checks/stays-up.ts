import type {Observations} from '../observations.js';
import type {Violation} from './promise-check.js';

/** Time in which a process of Node.js handles no signals yet, in milliseconds. */
const bootstrapMs = 500;

/** No daemon ends by itself. */
export function checkStaysUp({incarnations}: Observations): Violation[] {
	return incarnations
		.filter(
			({ownEnd, startMs, endMs}) =>
				ownEnd !== undefined &&
				!(ownEnd === 'SIGHUP' && endMs - startMs < bootstrapMs),
		)
		.map(({vm, ownEnd, startMs, endMs}) => ({
			promise: 'stays-up',
			detail: `the daemon of VM ${vm} ended by itself with ${ownEnd} after ${Math.round(endMs - startMs)} ms`,
		}));
}
