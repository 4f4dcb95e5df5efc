import {
	type Observations,
	requestsById,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** VMs without a fault send nothing new to a target that has said long enough ago that it leaves. */
export function checkLeavingTargets(observations: Observations): Violation[] {
	const {arrivals, leaves, bounds} = observations;
	const attempts = requestsById(observations);
	const left = new Map(leaves.map(({targetId, atMs}) => [targetId, atMs]));
	return arrivals.flatMap(({requestId, targetId, atMs}): Violation[] => {
		const sinceMs = atMs - (left.get(targetId) ?? Infinity);
		const vm = attempts.get(requestId)?.vm ?? 0;
		return sinceMs > bounds.drainMs &&
			isUndisrupted(observations, vm, [atMs - sinceMs, atMs])
			? [
					{
						promise: 'leaving-target',
						detail: `VM ${vm} sent ${requestId} to ${targetId} ${Math.round(sinceMs)} ms after it said that it leaves`,
					},
				]
			: [];
	});
}
