import type {Clock} from '../../common/index.js';
import {expectedHoldMs, neededTokens} from './generation-queue.js';
import type {PlacementRequest} from './types.js';

/** Memory that more urgent generations are expected to need soon. */
export type UrgentDemand = {
	/** Number of generations that are expected to run at a time, with its uncertainty. */
	readonly count: number;
	/** Memory of one of them, in tokens. */
	readonly tokensEach: number;
};

/** Estimates the memory that the generations of each urgency need, from their recent arrivals. */
export type UrgentDemandEstimator = {
	/** Counts a request that has arrived; once for each request. */
	record(request: PlacementRequest): void;
	/** Demand of the generations of a service that are more urgent than a priority. */
	moreUrgentThan(service: string, priority: number): UrgentDemand;
	/** Memory that generations of a service ask for that are at least as urgent, in tokens per millisecond. */
	arrivingTokensPerMs(service: string, priority: number): number;
};

/** Exponentially decayed sums over the arrivals of one service and priority. */
type Sums = {
	readonly priority: number;
	atMs: number;
	tokens: number;
	holdMs: number;
	tokensMs: number;
};

/** Time constant of the decay, in milliseconds; bursts last for 3 to 10 s. */
const decayMs = 3000;
/** Standard deviations of the number of generations that run at a time, which is Poisson distributed. */
const deviations = 2;

export function createUrgentDemandEstimator(
	clock: Clock,
): UrgentDemandEstimator {
	const sumsByService = new Map<string, Map<number, Sums>>();

	const decay = (sums: Sums) => {
		const nowMs = clock.nowMs();
		const factor = Math.exp((sums.atMs - nowMs) / decayMs);
		sums.atMs = nowMs;
		sums.tokens *= factor;
		sums.holdMs *= factor;
		sums.tokensMs *= factor;
	};

	const sumsOf = ({service, priority}: PlacementRequest) => {
		const ofService = sumsByService.get(service) ?? new Map<number, Sums>();
		sumsByService.set(service, ofService);
		const sums = ofService.get(priority) ?? {
			priority,
			atMs: clock.nowMs(),
			tokens: 0,
			holdMs: 0,
			tokensMs: 0,
		};
		ofService.set(priority, sums);
		return sums;
	};

	return {
		record(request) {
			const sums = sumsOf(request);
			decay(sums);
			const holdMs = expectedHoldMs(request);
			sums.tokens += neededTokens(request);
			sums.holdMs += holdMs;
			sums.tokensMs += neededTokens(request) * holdMs;
		},
		arrivingTokensPerMs(service, priority) {
			let tokens = 0;
			for (const sums of sumsByService.get(service)?.values() ?? []) {
				if (sums.priority <= priority) {
					decay(sums);
					tokens += sums.tokens;
				}
			}

			return tokens / decayMs;
		},
		moreUrgentThan(service, priority) {
			let holdMs = 0;
			let tokensMs = 0;
			for (const sums of sumsByService.get(service)?.values() ?? []) {
				if (sums.priority < priority) {
					decay(sums);
					holdMs += sums.holdMs;
					tokensMs += sums.tokensMs;
				}
			}

			const mean = holdMs / decayMs;
			return {
				count: Math.floor(mean + deviations * Math.sqrt(mean)),
				tokensEach: holdMs > 0 ? tokensMs / holdMs : 0,
			};
		},
	};
}
