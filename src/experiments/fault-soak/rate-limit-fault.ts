import type {Observations} from './observations.js';
import type {SoakTarget} from './soak-targets.js';

/** Makes targets name rate limits, and records which limits they named and when. */
export type RateLimitFault = {
	/**
	 * Makes a target name a limit for some time; a limit that it names already ends.
	 * @param forMs - duration, in milliseconds
	 */
	apply(
		target: SoakTarget,
		requestsPerSecond: number,
		forMs: number,
	): Promise<void>;
};

/** @param sleep - waits for a duration in milliseconds; rejects if the run ends meanwhile */
export function createRateLimitFault(
	{rateLimits}: Observations,
	sleep: (durationMs: number) => Promise<void>,
): RateLimitFault {
	const end = (target: SoakTarget) => {
		const current = rateLimits.find(
			({targetId, untilMs}) => targetId === target.id && untilMs === Infinity,
		);
		if (current) {
			current.untilMs = performance.now();
			target.setRateLimit(undefined);
		}
	};

	return {
		async apply(target, requestsPerSecond, forMs) {
			end(target);
			const limit = {
				targetId: target.id,
				requestsPerSecond,
				fromMs: performance.now(),
				untilMs: Infinity,
			};
			rateLimits.push(limit);
			target.setRateLimit(requestsPerSecond);
			await sleep(forMs);
			// A later step may have replaced the limit.
			if (limit.untilMs === Infinity) {
				end(target);
			}
		},
	};
}
