import {
	type Arrival,
	isUndisrupted,
	type NamedRateLimit,
	type Observations,
	requestsById,
} from '../observations.js';
import {leavesVmInTouch} from './excuses.js';
import type {Violation} from './invariant-check.js';

const windowMs = 4000;
/** Factor on the rate and number of requests beyond it that a target tolerates in a window. */
const tolerance = {factor: 1.5, extra: 5} as const;
const millisecondsPerSecond = 1000;

/** Times at which a target got requests that count, while it named its limit and all VMs knew of it. */
function countedTimes(
	{targetId, fromMs, untilMs}: NamedRateLimit,
	observations: Observations,
): number[] {
	const requests = requestsById(observations);
	const settledMs = fromMs + observations.bounds.rateLimitSettleMs;
	const isCounted = (arrival: Arrival) => {
		const {atMs} = arrival;
		const vm = requests.get(arrival.requestId)?.vm;
		return (
			arrival.targetId === targetId &&
			atMs >= settledMs &&
			atMs < untilMs &&
			vm !== undefined &&
			isUndisrupted(observations, vm, [atMs, atMs], leavesVmInTouch)
		);
	};

	return observations.arrivals
		.filter((arrival) => isCounted(arrival))
		.map(({atMs}) => atMs);
}

/** All VMs together send a target no more requests than the rate limit that it names allows. */
export function checkRateLimits(observations: Observations): Violation[] {
	return observations.rateLimits.flatMap((limit) => {
		const times = countedTimes(limit, observations);
		const allowed =
			(tolerance.factor * limit.requestsPerSecond * windowMs) /
				millisecondsPerSecond +
			tolerance.extra;
		const counts = times.map(
			(startMs) =>
				times.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
					.length,
		);
		const most = Math.max(0, ...counts);
		return most <= allowed
			? []
			: [
					{
						promise: 'rate-limit' as const,
						detail: `target ${limit.targetId}, which named a limit of ${limit.requestsPerSecond} requests a second, got ${most} in ${windowMs} ms`,
					},
				];
	});
}
