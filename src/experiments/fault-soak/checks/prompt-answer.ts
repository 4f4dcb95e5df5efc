import {type Observations, isUndisrupted} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time after the route's timeout for the response to reach the caller, in milliseconds. */
const slackMs = 500;

/**
 * Responses of VMs without a fault end by the timeout of their route. Requests whose caller
 * disconnected or gave up are left out.
 */
export function checkPromptAnswers(observations: Observations): Violation[] {
	return observations.attempts.flatMap((request): Violation[] => {
		const {id, kind, vm, sentMs, endedMs, leftMs, routeTimeoutMs} = request;
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
