import type {Clock} from '../../common/index.js';

export type RetryPoolOptions = {
	readonly clock: Clock;
	/**
	 * Bounds in force, read at each use since they may change: `extra` is the number of retries for each
	 * service that all VMs together may send in a sliding window, beside those earned by requests.
	 */
	readonly bounds: () => {readonly extra: number; readonly windowMs: number};
	/** Monotonic time at which this VM became coordinator, in milliseconds; Infinity if it is not. */
	readonly coordinatorSinceMs: () => number;
};

/** Retries that the coordinator grants to VMs whose own share is used up. */
export type RetryPool = {
	/**
	 * Takes one retry for a service.
	 * @returns false if none is left, or if this VM has not been coordinator for a whole window
	 */
	tryTake(service: string): boolean;
};

/**
 * Fraction of the fleet's extra retries that one pool grants. In a network partition there are two
 * coordinators; their pools and the VMs' own shares together have to stay below the fleet's limit.
 */
const poolFraction = 0.2;

export function createRetryPool(options: RetryPoolOptions): RetryPool {
	const {clock, bounds} = options;
	const grantTimes = new Map<string, number[]>();

	return {
		tryTake(service) {
			const {extra, windowMs} = bounds();
			const nowMs = clock.nowMs();
			// What the previous coordinator granted is unknown here; after a whole window it no longer counts.
			if (nowMs - options.coordinatorSinceMs() < windowMs) {
				return false;
			}

			const times = (grantTimes.get(service) ?? []).filter(
				(time) => time > nowMs - windowMs,
			);
			const isGranted = times.length + 1 <= poolFraction * extra;
			grantTimes.set(service, isGranted ? [...times, nowMs] : times);
			return isGranted;
		},
	};
}
