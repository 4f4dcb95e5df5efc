import {
	type Observations,
	requestsById,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/**
 * VMs without a fault send no request to a target that announced more than `drainMs` ago that it is
 * leaving.
 */
export function checkLeavingTargets(observations: Observations): Violation[] {
	const {arrivals, leaves, bounds} = observations;
	const requests = requestsById(observations);
	const announcedAtMs = new Map(
		leaves.map(({targetId, atMs}) => [targetId, atMs]),
	);
	return arrivals.flatMap(({requestId, targetId, atMs}): Violation[] => {
		const sinceLeavingMs = atMs - (announcedAtMs.get(targetId) ?? Infinity);
		const vm = requests.get(requestId)?.vm ?? 0;
		return sinceLeavingMs > bounds.drainMs &&
			isUndisrupted(observations, vm, [atMs - sinceLeavingMs, atMs])
			? [
					{
						promise: 'leaving-target',
						detail: `VM ${vm} sent ${requestId} to ${targetId} ${Math.round(sinceLeavingMs)} ms after it announced that it is leaving`,
					},
				]
			: [];
	});
}
