import {
	type Observations,
	requestsById,
	lateMsWithin,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time for an engine to learn that the caller has disconnected, in milliseconds. */
const cancelDelayMs = 500;

/** An engine stops a generation soon after its caller has disconnected. Checks ended ones only. */
export function checkWorkEnds(observations: Observations): Violation[] {
	const requests = requestsById(observations);
	return observations.works.flatMap(
		({requestId, targetId, endMs}): Violation[] => {
			const request = requests.get(requestId);
			const {leftMs, kind, vm = 0} = request ?? {};
			if (kind !== 'report' || leftMs === undefined || endMs === undefined) {
				return [];
			}

			// The engines run in the observer process, whose own delays must not count as work of theirs.
			const lateMs = lateMsWithin(observations, [leftMs, endMs]);
			return endMs - lateMs > leftMs + cancelDelayMs &&
				isUndisrupted(observations, vm, [leftMs, endMs])
				? [
						{
							promise: 'work-ends',
							detail: `${targetId} worked on ${requestId} until ${Math.round(endMs - leftMs)} ms after its caller had disconnected`,
						},
					]
				: [];
		},
	);
}
