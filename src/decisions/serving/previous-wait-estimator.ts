import type {Clock} from '../../common/index.js';

/** Tells from the time that callers have left how long they have waited already. */
export type PreviousWaitEstimator = {
	/**
	 * A request arrived.
	 * @param timeoutMs - time that the caller still waits, in milliseconds
	 * @returns time that it has waited in earlier attempts at least, in milliseconds
	 */
	estimateMs(routeName: string, timeoutMs: number | undefined): number;
};

/** Callers of one route have limits that differ by up to this part of the largest. */
const limitSpread = 0.16;
/** Time for which the largest limit of a route is remembered, in milliseconds. */
const spanMs = 30_000;

type Limits = {sinceMs: number; largestMs: number; previousMs: number};

/**
 * Creates a memory without routes. Callers of a route have similar time limits, and one that comes back
 * has much less of it left: its answer is late already, and yields to those that can be on time.
 */
export function createPreviousWaitEstimator(
	clock: Clock,
): PreviousWaitEstimator {
	const byRoute = new Map<string, Limits>();

	const limitsOf = (routeName: string): Limits => {
		const nowMs = clock.nowMs();
		let limits = byRoute.get(routeName);
		if (!limits) {
			limits = {sinceMs: nowMs, largestMs: 0, previousMs: 0};
			byRoute.set(routeName, limits);
		}

		if (nowMs - limits.sinceMs > spanMs) {
			limits.previousMs = limits.largestMs;
			limits.largestMs = 0;
			limits.sinceMs = nowMs;
		}

		return limits;
	};

	return {
		estimateMs(routeName, timeoutMs) {
			if (timeoutMs === undefined) {
				return 0;
			}

			const limits = limitsOf(routeName);
			limits.largestMs = Math.max(limits.largestMs, timeoutMs);
			const largestMs = Math.max(limits.largestMs, limits.previousMs);
			return Math.max(0, largestMs * (1 - limitSpread) - timeoutMs);
		},
	};
}
