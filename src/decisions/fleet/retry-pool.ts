import type {Clock} from '../../common/index.js';

export type RetryPoolOptions = {
	readonly clock: Clock;
	/**
	 * Limits in force, read at each use since they may change: `extra` is the number of retries for each
	 * service that the whole fleet may send in a sliding window, beside those earned by requests.
	 */
	readonly bounds: () => {readonly extra: number; readonly windowMs: number};
	/** Monotonic time at which this VM became coordinator, in milliseconds; Infinity if it is not. */
	readonly coordinatorSinceMs: () => number;
};

/** Retries that the coordinator grants to VMs whose own share is used up. */
export type RetryPool = {
	/**
	 * Takes one retry, if this VM is coordinator.
	 * @returns false if none is left for the service
	 */
	tryTake(service: string): boolean;
};

/**
 * Fraction of the fleet's extra retries that one pool grants. It is small enough that the VMs' own shares
 * and the pools of two coordinators, as a network partition makes them, stay below the fleet's limit.
 */
const poolFraction = 0.2;

export function createRetryPool(options: RetryPoolOptions): RetryPool {
	const {clock, bounds} = options;
	const grantTimes = new Map<string, number[]>();

	return {
		tryTake(service) {
			const {extra, windowMs} = bounds();
			const nowMs = clock.nowMs();
			// The grants of the previous coordinator are unknown, and out of the window after its length.
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
