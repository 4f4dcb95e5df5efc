import type {RandomSource} from '../../common/index.js';
import {peakTokens} from './memory-forecast.js';
import type {EngineUsage} from './run-registry.js';
import type {PlacementRequest} from './types.js';

/** Turns of new requests at an engine that limits its request rate. */
export type EngineTurns = {
	/** Time until the next turn, in milliseconds. */
	readonly waitMs: number;
	/** Time between two turns, in milliseconds. */
	readonly intervalMs: number;
	/** True if the engine is only cold, so that the limit ends before a copy is needed. */
	readonly isCold: boolean;
};

/** An engine that may run a generation. Memory is the KV cache, counted in tokens. */
export type EngineCandidate = {
	readonly targetId: string;
	readonly availabilityZone: string;
	/** Largest number of runs at a time. */
	readonly slotCount: number;
	readonly capacityTokens: number;
	readonly usage: EngineUsage;
	/** Inter-token latency of a run, in milliseconds. */
	readonly interTokenMs: number;
	/** True if outlier detection advises against the engine. */
	readonly isOutlier: boolean;
	/** Undefined if the engine does not limit its request rate. */
	readonly turns: EngineTurns | undefined;
};

/** Expected cost of a generation on one engine. */
export type EngineEvaluation = {
	readonly targetId: string;
	/** Peak fraction of the engine's memory in use until the generation ends. */
	readonly memoryFraction: number;
	/** Fraction of the engine's slots in use, with the generation. */
	readonly slotFraction: number;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Time that the generation takes and adds to other runs, with penalties, in milliseconds. */
	readonly costMs: number;
};

/** Prefill speed of an idle engine, in tokens per millisecond, until engines report their own. */
const prefillTokensPerMs = 14;
/** Fraction of that speed beside other runs, as prompts are prefilled in chunks between decode steps. */
const busyPrefillFraction = 0.55;
/** Time that each other run adds to a decode step, in milliseconds. */
const stepPerRequestMs = 0.12;
/** Fraction of the memory above which more load risks a preemption. */
const safeMemoryFraction = 0.85;
/**
 * Penalty for exceeding the safe memory fraction by 1, in milliseconds; less costs in proportion. Slots count
 * as memory does.
 */
const pressureCostMs = 20_000;
/** Penalty for an outlier, in milliseconds. */
const outlierCostMs = 3000;
/** Cost of streaming between availability zones, in milliseconds. */
const otherZoneCostMs = 60;
/**
 * Upper bound of a random cost, in milliseconds. It spreads VMs without a coordinator, which decide at
 * the same time on the same figures.
 */
const jitterMs = 10;

/**
 * Estimates the cost of a generation on one engine.
 *
 * Prefilling a long prompt delays the tokens of all runs on the engine. The prefill time therefore counts
 * once for the generation, and once more, weighted by the fraction of busy slots, for the runs beside it.
 */
export function evaluateEngine(
	candidate: EngineCandidate,
	request: PlacementRequest,
): EngineEvaluation {
	const {usage, capacityTokens, slotCount, interTokenMs} = candidate;
	const isRun = request.purpose === 'run';
	const promptTokens = isRun ? request.promptTokens : 0;
	const prefillRate =
		prefillTokensPerMs * (usage.runCount > 0 ? busyPrefillFraction : 1);
	const firstTokenMs = (usage.pendingPromptTokens + promptTokens) / prefillRate;
	const decodeMs =
		request.expectedTokens * (interTokenMs + stepPerRequestMs * usage.runCount);
	const othersDelayMs =
		(promptTokens / prefillTokensPerMs) *
		Math.min(1, usage.runCount / slotCount);
	// Memory use after the end of this generation does not affect it.
	const peak = peakTokens(
		[
			...usage.held,
			{
				tokens: request.promptTokens + request.doneTokens,
				remainingTokens: request.expectedTokens,
			},
		],
		request.expectedTokens,
	);
	const memoryFraction = peak / capacityTokens;
	const slotFraction = (usage.runCount + 1) / slotCount;
	const pressure = Math.max(
		0,
		Math.max(memoryFraction, slotFraction * safeMemoryFraction) -
			safeMemoryFraction,
	);
	const costMs =
		firstTokenMs +
		decodeMs +
		othersDelayMs +
		pressure * pressureCostMs +
		(candidate.isOutlier ? outlierCostMs : 0) +
		(candidate.availabilityZone === request.preferredZone
			? 0
			: otherZoneCostMs);
	return {
		targetId: candidate.targetId,
		memoryFraction,
		slotFraction,
		firstTokenMs,
		costMs,
	};
}

/** True if a request may be sent to the engine now; a copy of a run needs no turn. */
const isTurn = ({turns}: EngineCandidate, {purpose}: PlacementRequest) =>
	purpose === 'copy' || turns === undefined || turns.waitMs <= 0;

/**
 * Chooses the engine with the lowest cost for a generation among those with enough memory and a slot whose
 * rate limit permits a request now.
 * @param maxMemoryFraction - fraction of an engine's memory that may be in use at the peak
 * @returns undefined if no engine has room
 */
export function chooseEngine(
	candidates: readonly EngineCandidate[],
	request: PlacementRequest,
	maxMemoryFraction: number,
	random: RandomSource,
): EngineEvaluation | undefined {
	let best: EngineEvaluation | undefined;
	let bestCostMs = Infinity;
	for (const candidate of candidates) {
		const evaluation = evaluateEngine(candidate, request);
		if (
			evaluation.memoryFraction > maxMemoryFraction ||
			evaluation.slotFraction > 1 ||
			!isTurn(candidate, request)
		) {
			continue;
		}

		const costMs = evaluation.costMs + random.nextUnit() * jitterMs;
		if (costMs < bestCostMs) {
			bestCostMs = costMs;
			best = evaluation;
		}
	}

	return best;
}

/**
 * Penalty for an engine in another availability zone, as a fraction of its memory: copying a KV cache
 * between zones takes twice as long.
 */
const otherZoneFraction = 0.02;

/** Engine that runs a generation, and its availability zone. */
export type EngineLocation = {
	readonly targetId: string;
	readonly availabilityZone: string;
};

/**
 * Chooses the engine that holds the copy of a run's KV cache: the one with the most memory left.
 * @param source - engine of the run
 * @param maxMemoryFraction - peak fraction of an engine's memory up to which it takes copies
 * @returns undefined if no engine has room without risk to its own runs
 */
export function chooseCopyEngine(
	candidates: readonly EngineCandidate[],
	request: PlacementRequest,
	source: EngineLocation,
	maxMemoryFraction: number,
): string | undefined {
	let best: string | undefined;
	let bestFraction = maxMemoryFraction;
	for (const candidate of candidates) {
		// A run may have to wait for its turn at an engine that limits its request rate.
		const isLimited = candidate.turns !== undefined && !candidate.turns.isCold;
		const isUnsuitable = candidate.isOutlier || isLimited;
		if (candidate.targetId === source.targetId || isUnsuitable) {
			continue;
		}

		const {memoryFraction} = evaluateEngine(candidate, request);
		const fraction =
			memoryFraction +
			(candidate.availabilityZone === source.availabilityZone
				? 0
				: otherZoneFraction);
		if (fraction < bestFraction) {
			bestFraction = fraction;
			best = candidate.targetId;
		}
	}

	return best;
}
