import {
	type Observations,
	requestsById,
	lateMsWithin,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time in which an engine hears that the caller has left. */
const noticeMs = 500;

/** An engine stops work on a generation whose caller has left. */
export function checkWorkEnds(observations: Observations): Violation[] {
	const attempts = requestsById(observations);
	return observations.works.flatMap(
		({requestId, targetId, endMs}): Violation[] => {
			const attempt = attempts.get(requestId);
			const {leftMs, kind, vm = 0} = attempt ?? {};
			if (kind !== 'report' || leftMs === undefined || endMs === undefined) {
				return [];
			}

			// The engines are played by the observer, whose own lateness is not the engines' work.
			const lateMs = lateMsWithin(observations, [leftMs, endMs]);
			return endMs - lateMs > leftMs + noticeMs &&
				isUndisrupted(observations, vm, [leftMs, endMs])
				? [
						{
							promise: 'work-ends',
							detail: `${targetId} worked on ${requestId} ${Math.round(endMs - leftMs)} ms after its caller left`,
						},
					]
				: [];
		},
	);
}
