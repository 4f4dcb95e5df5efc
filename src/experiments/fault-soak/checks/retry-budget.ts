import {type Observations, requestsById} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Counts the times in a window. */
const countBetween = (
	times: readonly number[],
	fromMs: number,
	untilMs: number,
) => times.filter((atMs) => atMs > fromMs && atMs <= untilMs).length;

/**
 * All VMs together send a service no more retries than its retry budget allows in any window. The
 * budget is that for the requests of the window, or of the window before it or half a window before
 * it if there were more.
 */
export function checkRetryBudget(observations: Observations): Violation[] {
	const {arrivals, bounds} = observations;
	const requests = requestsById(observations);
	const requestTimes = new Map<string, number[]>();
	const retryTimes = new Map<string, number[]>();
	const seenRequestIds = new Set<string>();
	for (const {requestId, service, atMs} of arrivals) {
		const timesByService = seenRequestIds.has(requestId)
			? retryTimes
			: requestTimes;
		seenRequestIds.add(requestId);
		const sentMs = requests.get(requestId)?.sentMs ?? atMs;
		const list = timesByService.get(service) ?? [];
		timesByService.set(service, [
			...list,
			timesByService === requestTimes ? sentMs : atMs,
		]);
	}

	const windowMs = bounds.retryWindowMs;
	return [...retryTimes].flatMap(([service, times]) => {
		const sent = requestTimes.get(service) ?? [];
		const exceededAtMs = times.find((endMs) => {
			const maxRequests = Math.max(
				...[0, windowMs / 2, windowMs].map((backMs) =>
					countBetween(sent, endMs - windowMs - backMs, endMs - backMs),
				),
			);
			const allowed = bounds.retryRatio * maxRequests + bounds.retryExtra;
			return countBetween(times, endMs - windowMs, endMs) > allowed;
		});
		return exceededAtMs === undefined
			? []
			: [
					{
						promise: 'retry-budget',
						detail: `service ${service} got ${countBetween(times, exceededAtMs - windowMs, exceededAtMs)} retries in the window that ends at ${Math.round(exceededAtMs)} ms`,
					},
				];
	});
}
