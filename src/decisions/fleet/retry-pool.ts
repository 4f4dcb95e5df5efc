import type {Clock} from '../../common/index.js';

/** What a pool works with. */
export type RetryPoolOptions = {
	readonly clock: Clock;
	/** Bounds in force; they may change. */
	readonly bounds: () => {readonly extra: number; readonly windowMs: number};
	/** Monotonic time since which this VM coordinates, in milliseconds; Infinity if it does not. */
	readonly coordinatorSinceMs: () => number;
};

/** Repeated sends that the coordinator gives to VMs whose own share is used up. */
export type RetryPool = {
	/** @returns false if none is left for the service */
	tryTake(service: string): boolean;
};

/**
 * Part of the fleet's extra sends; what the VMs have themselves and the pools of two coordinators, as
 * there are while the fleet is parted, stay below the whole together.
 */
const poolPart = 0.2;

/** Creates a pool that has given nothing. */
export function createRetryPool(options: RetryPoolOptions): RetryPool {
	const {clock, bounds} = options;
	const given = new Map<string, number[]>();

	return {
		tryTake(service) {
			const {extra, windowMs} = bounds();
			const nowMs = clock.nowMs();
			// What the coordinator before has given is not known, but is over after a window.
			if (nowMs - options.coordinatorSinceMs() < windowMs) {
				return false;
			}

			const times = (given.get(service) ?? []).filter(
				(time) => time > nowMs - windowMs,
			);
			const isLeft = times.length + 1 <= poolPart * extra;
			given.set(service, isLeft ? [...times, nowMs] : times);
			return isLeft;
		},
	};
}
