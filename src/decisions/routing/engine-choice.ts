import type {CostWeights, RandomSource} from '../../common/index.js';
import type {PrefixCacheEstimate} from './prefix-cache-estimate.js';
import type {EngineLoad} from './engine-load.js';
import type {RoutingTuning} from './routing-tuning.js';
import type {PrefixRow} from './prefix-index.js';
import type {StreamForecast} from './stream-forecast.js';

/** An engine that a generation may go to. */
export type EngineCandidate = {
	readonly load: EngineLoad;
	readonly affinity: PrefixCacheEstimate;
	/** Place in the order of names, from 0. */
	readonly rank: number;
	readonly availabilityZone: string;
	/** Monotonic time until which prompts sent by this VM keep the engine busy, in milliseconds. */
	readonly prefillBusyUntilMs: number;
};

/** Place of a VM among those that take turns. */
export type PrefillTurn = {
	readonly wallMs: number;
	/** Place of this VM in the order of names, from 0. */
	readonly turn: number;
	readonly turnCount: number;
};

/** A generation that looks for an engine. */
export type EngineChoiceRequest = {
	readonly forecast: StreamForecast;
	readonly promptTokens: number;
	readonly prefixRows: readonly PrefixRow[];
	readonly hasFloorPriority: boolean;
	/** True if the generation is to displace others where there is no room. */
	readonly mayPreempt: boolean;
	readonly weights: CostWeights;
	readonly nowMs: number;
	/** Place of this VM in the turns, or undefined if none are taken. */
	readonly prefillTurn: PrefillTurn | undefined;
};

/** Chooses engines by weighted cost. */
export type EngineChooser = {
	/**
	 * @param averageStream - forecast of an average stream, which stands for each of the peers' streams
	 * @returns the engine, or undefined if none has room
	 */
	choose<C extends EngineCandidate>(
		candidates: readonly C[],
		request: EngineChoiceRequest,
		averageStream: StreamForecast,
	): C | undefined;
};

// The chance of running out of memory is about halved by each 2% of the memory that stay free.
const pressureScale = 0.03;
const noPressurePart = 0.6;
const millisecondsPerSecond = 1000;
const stepPerStreamMs = 0.2;

/**
 * Creates a chooser.
 * @param ownZone - availability zone of this VM
 */
export function createEngineChooser(
	tuning: RoutingTuning,
	ownZone: string,
	random: RandomSource,
): EngineChooser {
	let costs = new Float64Array(64);

	/** False while other prompts would be computed together with this one and stall the streams. */
	const isTurn = (
		candidate: EngineCandidate,
		request: EngineChoiceRequest,
		part: number,
	) => {
		const {prefillTurn, nowMs} = request;
		if (!prefillTurn || part < tuning.prefillTurnMinFraction) {
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
		part: number,
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
		const pressure =
			part < noPressurePart ? 0 : Math.exp((part - 1) / pressureScale);
		const recomputeMs = tuning.prefillPerTokenMs * (load.ownTokens + 1);
		return (
			weights.preemption * pressure +
			(weights.stallPerSecond * (stallMs + pressure * recomputeMs)) /
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
				const backOff =
					tuning.preemptionReserve *
					candidate.load.recentPreemptions(request.nowMs);
				const part =
					candidate.load.peakTokens(
						request.forecast,
						averageStream,
						deviations,
						request.nowMs,
					) / candidate.load.capacityTokens;
				// A prompt that no engine could hold beside others still runs on an empty one.
				const fits =
					(request.mayPreempt ||
						part <= limit - backOff ||
						candidate.load.openCount === 0) &&
					isTurn(candidate, request, part);
				costs[index] = fits ? costOf(candidate, request, part) : Infinity;
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

			// Every VM would pick the same one of equal engines without chance.
			let skipped = random.nextInt(equalCount);
			return candidates.find(
				(_, index) => costs[index] <= bound && skipped-- === 0,
			);
		},
	};
}
