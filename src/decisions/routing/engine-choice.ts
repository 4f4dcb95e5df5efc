import type {CostWeights, RandomSource} from '../../common/index.js';
import type {PrefixCacheEstimate} from './prefix-cache-estimate.js';
import type {EngineLoad} from './engine-load.js';
import type {RoutingTuning} from './routing-tuning.js';
import type {PrefixRow} from './prefix-index.js';
import type {StreamForecast} from './stream-forecast.js';

/** An engine on which a generation may be placed. */
export type EngineCandidate = {
	readonly load: EngineLoad;
	readonly affinity: PrefixCacheEstimate;
	/** Rank of the engine in the order of names, from 0. */
	readonly rank: number;
	readonly availabilityZone: string;
	/** Monotonic time until which prompts sent by this VM keep the engine busy, in milliseconds. */
	readonly prefillBusyUntilMs: number;
};

/** Position of this VM among the VMs that take turns at sending prompts to an engine. */
export type PrefillTurn = {
	readonly wallMs: number;
	/** Turn of this VM, from 0. */
	readonly turn: number;
	/** Number of turns. */
	readonly turnCount: number;
};

/** A generation to be placed. */
export type EngineChoiceRequest = {
	readonly forecast: StreamForecast;
	readonly promptTokens: number;
	readonly prefixRows: readonly PrefixRow[];
	/** True if the account has floor priority, which allows a smaller safety margin. */
	readonly hasFloorPriority: boolean;
	/** True if the generation may use an engine without room, which then preempts others. */
	readonly mayPreempt: boolean;
	readonly weights: CostWeights;
	readonly nowMs: number;
	/** Turn of this VM, or undefined if VMs do not take turns. */
	readonly prefillTurn: PrefillTurn | undefined;
};

/** Chooses the engine with the lowest weighted cost. */
export type EngineChooser = {
	/**
	 * @param averageStream - forecast of an average stream, used for each stream of the peers
	 * @returns the engine, or undefined if none has room
	 */
	choose<C extends EngineCandidate>(
		candidates: readonly C[],
		request: EngineChoiceRequest,
		averageStream: StreamForecast,
	): C | undefined;
};

// Each further 2% of free memory about halves the probability of running out of memory.
const preemptionScale = 0.03;
// Memory fraction below which the cost of a preemption is neglected.
const noPreemptionFraction = 0.6;
const millisecondsPerSecond = 1000;
// Time by which each stream lengthens a decoding step.
const stepPerStreamMs = 0.2;

/**
 * @param ownZone - availability zone of this VM
 */
export function createEngineChooser(
	tuning: RoutingTuning,
	ownZone: string,
	random: RandomSource,
): EngineChooser {
	let costs = new Float64Array(64);

	/**
	 * False while prompts of this or another VM could be computed together with this one, which would
	 * stall the streams of the engine.
	 */
	const isTurn = (
		candidate: EngineCandidate,
		request: EngineChoiceRequest,
		memoryFraction: number,
	) => {
		const {prefillTurn, nowMs} = request;
		if (!prefillTurn || memoryFraction < tuning.prefillTurnMinFraction) {
			return true;
		}

		const index =
			Math.floor(prefillTurn.wallMs / tuning.prefillTurnMs) + candidate.rank;
		return (
			index % prefillTurn.turnCount === prefillTurn.turn &&
			candidate.prefillBusyUntilMs <= nowMs
		);
	};

	const costOf = (
		candidate: EngineCandidate,
		request: EngineChoiceRequest,
		memoryFraction: number,
	) => {
		const {load, affinity} = candidate;
		const {weights, nowMs} = request;
		const cached = affinity.expectedCachedTokens(request.prefixRows, nowMs);
		const prefillMs =
			tuning.prefillPerTokenMs * Math.max(0, request.promptTokens - cached);
		const busyMs = Math.max(0, candidate.prefillBusyUntilMs - nowMs);
		const streams = load.openCount;
		const gapMs = load.stepMs + busyMs + prefillMs;
		const stallMs = streams * Math.max(0, gapMs - tuning.stallTimeThresholdMs);
		const zoneMs =
			candidate.availabilityZone === ownZone ? 0 : tuning.crossZoneLatencyMs;
		const preemptionProbability =
			memoryFraction < noPreemptionFraction
				? 0
				: Math.exp((memoryFraction - 1) / preemptionScale);
		const recomputeMs = tuning.prefillPerTokenMs * (load.ownTokens + 1);
		return (
			weights.preemption * preemptionProbability +
			(weights.stallPerSecond *
				(stallMs + preemptionProbability * recomputeMs)) /
				millisecondsPerSecond +
			(weights.tailPerSecond *
				(prefillMs + busyMs + zoneMs + stepPerStreamMs * streams)) /
				millisecondsPerSecond
		);
	};

	return {
		choose(candidates, request, averageStream) {
			if (costs.length < candidates.length) {
				costs = new Float64Array(candidates.length * 2);
			}

			const limit =
				tuning.memoryLimit -
				(request.hasFloorPriority ? 0 : tuning.floorReserve);
			const deviations = request.hasFloorPriority
				? tuning.floorMarginDeviations
				: tuning.marginDeviations;
			let lowest = Infinity;
			for (let index = 0; index < candidates.length; index++) {
				const candidate = candidates[index];
				const reserve =
					tuning.preemptionReserve *
					candidate.load.recentPreemptions(request.nowMs);
				const memoryFraction =
					candidate.load.peakTokens(
						request.forecast,
						averageStream,
						deviations,
						request.nowMs,
					) / candidate.load.capacityTokens;
				// A prompt that no engine has room for beside other streams may still run on an idle one.
				const isEligible =
					(request.mayPreempt ||
						memoryFraction <= limit - reserve ||
						candidate.load.openCount === 0) &&
					isTurn(candidate, request, memoryFraction);
				costs[index] = isEligible
					? costOf(candidate, request, memoryFraction)
					: Infinity;
				lowest = Math.min(lowest, costs[index]);
			}

			if (lowest === Infinity) {
				return undefined;
			}

			const bound = lowest * (1 + tuning.equalCostTolerance);
			let equalCount = 0;
			for (let index = 0; index < candidates.length; index++) {
				equalCount += Number(costs[index] <= bound);
			}

			// Chooses at random between engines of equal cost; otherwise all VMs would choose the same one.
			let skipped = random.nextInt(equalCount);
			return candidates.find(
				(_, index) => costs[index] <= bound && skipped-- === 0,
			);
		},
	};
}
