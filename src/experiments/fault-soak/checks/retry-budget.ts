import {type Observations, attemptsById} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Counts the times in a window. */
const countBetween = (
	times: readonly number[],
	fromMs: number,
	untilMs: number,
) => times.filter((atMs) => atMs > fromMs && atMs <= untilMs).length;

/** All VMs together send a service no more retries than its retry budget allows in any window. */
export function checkRetryBudget(observations: Observations): Violation[] {
	const {arrivals, bounds} = observations;
	const attempts = attemptsById(observations);
	const requests = new Map<string, number[]>();
	const retries = new Map<string, number[]>();
	const seenRequestIds = new Set<string>();
	for (const {requestId, service, atMs} of arrivals) {
		const times = seenRequestIds.has(requestId) ? retries : requests;
		seenRequestIds.add(requestId);
		const sentMs = attempts.get(requestId)?.sentMs ?? atMs;
		const list = times.get(service) ?? [];
		times.set(service, [...list, times === requests ? sentMs : atMs]);
	}

	const windowMs = bounds.retryWindowMs;
	return [...retries].flatMap(([service, times]) => {
		const sent = requests.get(service) ?? [];
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
