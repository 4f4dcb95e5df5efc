import type {Clock} from '../../common/index.js';

/** Estimates from the remaining time limit of a caller how long it has already waited. */
export type PreviousWaitEstimator = {
	/**
	 * Records the time limit of a request and estimates the wait before it.
	 * @param timeoutMs - time limit that the caller sent, in milliseconds
	 * @returns lower bound of the time that the caller has waited with earlier requests, in milliseconds
	 */
	estimateMs(routeName: string, timeoutMs: number | undefined): number;
};

/** Fraction of the largest time limit by which the limits of new requests to a route may differ. */
const limitSpread = 0.16;
/** Length of the two intervals for which the largest time limit of a route is kept, in milliseconds. */
const spanMs = 30_000;

/** Largest time limits of a route in the current interval, which starts at `sinceMs`, and the previous one. */
type Limits = {sinceMs: number; largestMs: number; previousMs: number};

/**
 * Creates an estimator without observations. Callers of a route have similar time limits, and a caller
 * that retries has much less of its limit left. Its response is late already, so that it gets a lower
 * priority than requests that can be on time.
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
