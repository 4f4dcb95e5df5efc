import {type Observations, isUndisrupted} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time beyond the route's limit in which the answer reaches the caller. */
const slackMs = 500;

/** VMs without a fault answer every request by the timeout of its route. */
export function checkPromptAnswers(observations: Observations): Violation[] {
	return observations.attempts.flatMap((attempt): Violation[] => {
		const {id, kind, vm, sentMs, endedMs, leftMs, routeTimeoutMs} = attempt;
		const dueMs = sentMs + routeTimeoutMs + slackMs;
		const isLate =
			endedMs !== undefined && leftMs === undefined && endedMs > dueMs;
		return isLate && isUndisrupted(observations, vm, [sentMs, endedMs])
			? [
					{
						promise: 'prompt-answer',
						detail: `${kind} ${id} ended after ${Math.round(endedMs - sentMs)} ms`,
					},
				]
			: [];
	});
}
