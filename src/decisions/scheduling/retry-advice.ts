import type {Clock, RandomSource} from '../../common/index.js';
import {neededTokens} from './generation-queue.js';
import type {ServiceMemory} from './service-memory-types.js';
import type {PlacementRequest} from './types.js';

/** Tells refused callers when to come back. */
export type RetryAdvice = {
	/**
	 * Time after which memory for a generation is expected, in milliseconds, spread so that callers do not come
	 * back together. Callers that were told to come back before count as ahead.
	 * @param request - with the time that remains now
	 * @param aheadTokens - memory that goes to generations in the queue
	 * @param arrivingTokensPerMs - memory that new generations of the same or a higher urgency ask for
	 */
	retryAfterMs(
		request: PlacementRequest,
		memory: Pick<ServiceMemory, 'freeChance'>,
		aheadTokens: number,
		arrivingTokensPerMs: number,
	): number;
};

/** Shortest advice, in milliseconds. */
export const minRetryAfterMs = 300;
/** Largest fraction of its remaining time after which a caller may try again; it ignores longer advice. */
const retryAfterFraction = 0.33;
/** Times for which the forecast is asked, in milliseconds. */
const horizonsMs = [500, 1000, 2000, 3000, 4500, 6000, 8000, 10_000, 13_000];
/** Probability of free memory with which a caller is told to come back. */
const minChance = 0.5;
/** Range over which callers are spread, as a fraction of the expected time. */
const spreadFraction = 0.4;
/** The same before the longest time after which a caller may come back. */
const lastSpreadFraction = 0.5;

export function createRetryAdvice(
	clock: Clock,
	random: RandomSource,
): RetryAdvice {
	/** Callers that are to come back, by service. */
	const returning = new Map<string, Array<{atMs: number; tokens: number}>>();

	const returningTo = (service: string) => {
		const nowMs = clock.nowMs();
		const left = (returning.get(service) ?? []).filter(
			({atMs}) => atMs > nowMs,
		);
		returning.set(service, left);
		return left;
	};

	const expectedMs = (
		request: PlacementRequest,
		memory: Pick<ServiceMemory, 'freeChance'>,
		aheadTokens: number,
		arrivingTokensPerMs: number,
	) => {
		const returns = returningTo(request.service);
		return horizonsMs.find((horizonMs) => {
			const untilMs = clock.nowMs() + horizonMs * (1 + spreadFraction);
			let tokens = aheadTokens + arrivingTokensPerMs * horizonMs;
			for (const earlier of returns) {
				tokens += earlier.atMs <= untilMs ? earlier.tokens : 0;
			}

			return memory.freeChance(request, tokens, horizonMs) >= minChance;
		});
	};

	return {
		retryAfterMs(request, memory, aheadTokens, arrivingTokensPerMs) {
			const longestMs = retryAfterFraction * request.remainingMs;
			const earliestMs =
				expectedMs(request, memory, aheadTokens, arrivingTokensPerMs) ??
				Infinity;
			const spreadMs = earliestMs * (1 + spreadFraction * random.nextUnit());
			const afterMs =
				spreadMs > longestMs
					? longestMs * (1 - lastSpreadFraction * random.nextUnit())
					: spreadMs;
			const retryAfterMs = Math.max(minRetryAfterMs, afterMs);
			returningTo(request.service).push({
				atMs: clock.nowMs() + retryAfterMs,
				tokens: neededTokens(request),
			});
			return retryAfterMs;
		},
	};
}
