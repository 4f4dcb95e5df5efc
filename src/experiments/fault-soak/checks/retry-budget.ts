import {type Observations, requestsById} from '../observations.js';
import type {Violation} from './invariant-check.js';

const between = (times: readonly number[], fromMs: number, untilMs: number) =>
	times.filter((atMs) => atMs > fromMs && atMs <= untilMs).length;

/** All VMs together send no more repeats to a service than its budget allows in any window. */
export function checkRetryBudget(observations: Observations): Violation[] {
	const {arrivals, bounds} = observations;
	const attempts = requestsById(observations);
	const requests = new Map<string, number[]>();
	const repeats = new Map<string, number[]>();
	const seen = new Set<string>();
	for (const {requestId, service, atMs} of arrivals) {
		const times = seen.has(requestId) ? repeats : requests;
		seen.add(requestId);
		const sentMs = attempts.get(requestId)?.sentMs ?? atMs;
		const list = times.get(service) ?? [];
		times.set(service, [...list, times === requests ? sentMs : atMs]);
	}

	const windowMs = bounds.retryWindowMs;
	return [...repeats].flatMap(([service, times]) => {
		const sent = requests.get(service) ?? [];
		const exceeded = times.find((endMs) => {
			const most = Math.max(
				...[0, windowMs / 2, windowMs].map((backMs) =>
					between(sent, endMs - windowMs - backMs, endMs - backMs),
				),
			);
			const allowed = bounds.retryRatio * most + bounds.retryExtra;
			return between(times, endMs - windowMs, endMs) > allowed;
		});
		return exceeded === undefined
			? []
			: [
					{
						promise: 'retry-budget',
						detail: `service ${service} got ${between(times, exceeded - windowMs, exceeded)} repeats in the window that ends at ${Math.round(exceeded)} ms`,
					},
				];
	});
}
