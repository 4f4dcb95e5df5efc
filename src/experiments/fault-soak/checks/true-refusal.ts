import type {Observations} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Statuses with which a daemon states that it has not run a request. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * A refused request that is no `lookup` was not executed, and every refusal with status 503 states
 * when to retry.
 */
export function checkTrueRefusals({
	attempts,
	works,
}: Observations): Violation[] {
	const startedIds = new Set(works.map(({requestId}) => requestId));
	return attempts
		.filter(({status, stamp}) => notRunStatuses.has(status ?? 0) && !stamp)
		.flatMap(({id, kind, status, retryAfter}): Violation[] => {
			if (kind !== 'lookup' && startedIds.has(id)) {
				return [
					{
						promise: 'true-refusal',
						detail: `${kind} ${id} was refused with ${status} and ran`,
					},
				];
			}

			return status === 503 && !(Number(retryAfter) > 0)
				? [
						{
							promise: 'true-refusal',
							detail: `${kind} ${id} was refused with 503 but without a positive Retry-After`,
						},
					]
				: [];
		});
}
