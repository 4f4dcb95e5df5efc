import type {Arrival, SentRequest} from './stating-targets.js';

/** Time after which a leaving target must get no new requests, in milliseconds. */
const drainMs = 2000;
/** Time for which targets in these tests want no requests, in milliseconds. */
export const backOffMs = 3000;
/** Time after a refusal for what is under way, in milliseconds. */
const underWayMs = 500;
/** Times in the ids of requests are rounded, in milliseconds. */
const roundingMs = 1;
const percentile = 0.95;

/** Requests that a target got too late after the first answer that said to their VM that it leaves. */
export function countAfterLeaving(arrivals: readonly Arrival[]): number {
	const firstMs = new Map<number, number>();
	for (const {vm, atMs, isStated} of arrivals) {
		if (isStated && !firstMs.has(vm)) {
			firstMs.set(vm, atMs);
		}
	}

	return arrivals.filter(
		({vm, sentMs}) =>
			sentMs > (firstMs.get(vm) ?? Infinity) + drainMs + roundingMs,
	).length;
}

/** Largest number of requests of one VM that reached a target while it wanted none from that VM. */
export function mostDuringBackOff(arrivals: readonly Arrival[]): number {
	const counts = arrivals
		.filter(({isStated}) => isStated)
		.map(
			(refused) =>
				arrivals.filter(
					({vm, atMs}) =>
						vm === refused.vm &&
						atMs > refused.atMs + underWayMs &&
						atMs < refused.atMs + backOffMs,
				).length,
		);
	return Math.max(0, ...counts);
}

export function servedFraction(requests: readonly SentRequest[]): number {
	const served = requests.filter(({response}) => response.status === 200);
	return served.length / requests.length;
}

/** @returns 95th percentile of the time to the response, in milliseconds */
export function durationP95Ms(requests: readonly SentRequest[]): number {
	const durationsMs = requests
		.map(({sentMs, doneMs}) => doneMs - sentMs)
		.sort((first, second) => first - second);
	return durationsMs[Math.floor(durationsMs.length * percentile)];
}

/**
 * Times from the end of the first back-off to the returns of the callers that were refused during it, in
 * milliseconds.
 */
export function returnsAfterBackOff(
	requests: readonly SentRequest[],
	arrivals: readonly Arrival[],
): number[] {
	const refusedMs = arrivals
		.filter(({isStated}) => isStated)
		.map(({atMs}) => atMs);
	const endMs = Math.min(...refusedMs) + backOffMs;
	return requests
		.filter(
			({sentMs, response}) =>
				response.status === 503 &&
				sentMs > endMs - backOffMs + underWayMs &&
				sentMs < endMs - underWayMs,
		)
		.map(({doneMs, response}) => {
			const retryAfterMs = Number(response.headers['retry-after']) * 1000;
			return doneMs + retryAfterMs - endMs + roundingMs;
		});
}
