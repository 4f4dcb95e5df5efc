import {
	type Observations,
	attemptsById,
	lateMsWithin,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time for an engine to learn that the caller has disconnected, in milliseconds. */
const cancelDelayMs = 500;

/** An engine stops a generation whose caller has disconnected. */
export function checkWorkEnds(observations: Observations): Violation[] {
	const attempts = attemptsById(observations);
	return observations.works.flatMap(
		({requestId, targetId, endMs}): Violation[] => {
			const attempt = attempts.get(requestId);
			const {leftMs, kind, vm = 0} = attempt ?? {};
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
