import type {Observations} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** CPU time that Node.js takes to start, before it can handle signals, in milliseconds. */
const bootstrapCpuMs = 300;

/** No daemon exits unexpectedly, except at a SIGHUP while Node.js is still starting. */
export function checkStaysUp({incarnations}: Observations): Violation[] {
	return incarnations
		.filter(
			({ownEnd, signalledCpuMs}) =>
				ownEnd !== undefined &&
				!(ownEnd === 'SIGHUP' && signalledCpuMs < bootstrapCpuMs),
		)
		.map(({vm, ownEnd, startMs, endMs}) => ({
			promise: 'stays-up',
			detail: `the daemon of VM ${vm} exited unexpectedly with ${ownEnd} after ${Math.round(endMs - startMs)} ms`,
		}));
}
