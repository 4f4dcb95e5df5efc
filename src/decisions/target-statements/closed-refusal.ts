import type {RandomSource} from '../../common/index.js';
import type {ClosedRefusal, TargetStanding} from './types.js';

/** Range of the time over which callers are spread that return after a back-off, in milliseconds. */
const returnSpreadMs = {least: 300, most: 2000} as const;

/** Why no target is known to take requests again. */
function endlessReason(standings: readonly TargetStanding[]): string {
	const evacuated = standings.filter(({cause}) => cause === 'evacuated');
	if (evacuated.length === 0) {
		return 'all targets leave';
	}

	return evacuated.length === standings.length
		? 'all targets are evacuated'
		: 'all targets are evacuated or leave';
}

/**
 * Refusal of a request if every target of its service says that it takes none.
 * @param standings - those of all targets of the service
 * @returns undefined if a target may be used, or if there is none
 */
export function closedRefusal(
	standings: readonly TargetStanding[],
	random: RandomSource,
): ClosedRefusal | undefined {
	const isClosed = standings.every(({use}) => use === 'none');
	if (standings.length === 0 || !isClosed) {
		return undefined;
	}

	const waitMs = Math.min(...standings.map((standing) => standing.waitMs));
	if (waitMs === Infinity) {
		return {reason: endlessReason(standings), retryAfterMs: undefined};
	}

	const {least, most} = returnSpreadMs;
	const spreadMs = Math.min(most, Math.max(least, waitMs));
	return {
		reason: 'all targets want no requests for a time',
		retryAfterMs: waitMs + spreadMs * random.nextUnit(),
	};
}
