import type {RandomSource} from '../../common/index.js';
import {peakTokens} from './memory-forecast.js';
import type {EngineUsage} from './run-registry.js';
import type {PlacementRequest} from './types.js';

/** An engine that a generation may go to. */
export type EngineCandidate = {
	readonly targetId: string;
	readonly availabilityZone: string;
	readonly slotCount: number;
	readonly capacityTokens: number;
	readonly use: EngineUsage;
	/** Time for one token there, in milliseconds. */
	readonly tokenMs: number;
	/** True if the engine failed of late. */
	readonly isOutlier: boolean;
};

/** What was weighed for one engine. */
export type EngineEvaluation = {
	readonly targetId: string;
	/** Part of the engine's memory that is expected to be in use at most until the generation ends. */
	readonly memoryFraction: number;
	/** Part of its slots that is taken. */
	readonly slotFraction: number;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	readonly costMs: number;
};

/** Tokens of a prompt that an idle engine reads in a millisecond, until engines report their own. */
const prefillTokensPerMs = 14;
/** Prompts are read in chunks between the tokens of other requests, at about this part of the speed. */
const busyPrefillPart = 0.55;
/** Time that one more running request adds to each token, in milliseconds. */
const stepPerRequestMs = 0.12;
/** Part of the memory from which on more load risks a preemption. */
const safeMemoryPart = 0.85;
/** Cost of using all memory beyond the safe part, in milliseconds. */
const pressureCostMs = 20_000;
/** Cost of an engine that failed of late, in milliseconds. */
const suspectCostMs = 3000;
/** Cost of the bytes of a stream between zones, in milliseconds. */
const otherZoneCostMs = 60;
/** VMs without a coordinator decide at the same time on the same figures. */
const jitterMs = 10;

/**
 * Weighs one engine.
 *
 * Answers the pattern "long prompts beside running streams": a prompt delays the tokens of all
 * requests beside it, so that its time counts once for itself and once for the streams there.
 */
export function evaluateEngine(
	candidate: EngineCandidate,
	demand: PlacementRequest,
): EngineEvaluation {
	const {use, capacityTokens, slotCount, tokenMs} = candidate;
	const isRun = demand.purpose === 'run';
	const promptTokens = isRun ? demand.promptTokens : 0;
	const rate = prefillTokensPerMs * (use.runCount > 0 ? busyPrefillPart : 1);
	const firstTokenMs = (use.pendingPromptTokens + promptTokens) / rate;
	const answerMs =
		demand.expectedTokens * (tokenMs + stepPerRequestMs * use.runCount);
	const othersMs =
		(promptTokens / prefillTokensPerMs) * Math.min(1, use.runCount / slotCount);
	// What comes after its own end is no matter of this generation.
	const peak = peakTokens(
		[
			...use.held,
			{
				tokens: demand.promptTokens + demand.doneTokens,
				remainingTokens: demand.expectedTokens,
			},
		],
		demand.expectedTokens,
	);
	const memoryFraction = peak / capacityTokens;
	const slotFraction = (use.runCount + 1) / slotCount;
	const pressure = Math.max(
		0,
		Math.max(memoryFraction, slotFraction * safeMemoryPart) - safeMemoryPart,
	);
	const costMs =
		firstTokenMs +
		answerMs +
		othersMs +
		pressure * pressureCostMs +
		(candidate.isOutlier ? suspectCostMs : 0) +
		(candidate.availabilityZone === demand.preferredZone ? 0 : otherZoneCostMs);
	return {
		targetId: candidate.targetId,
		memoryFraction,
		slotFraction,
		firstTokenMs,
		costMs,
	};
}

/**
 * Chooses the engine on which a generation costs itself and the others the least time, among those
 * whose memory and slots take it.
 * @param maxMemoryPart - part of the memory that may be in use at the peak
 * @returns undefined if none takes it
 */
export function chooseEngine(
	candidates: readonly EngineCandidate[],
	demand: PlacementRequest,
	maxMemoryPart: number,
	random: RandomSource,
): EngineEvaluation | undefined {
	let best: EngineEvaluation | undefined;
	let bestCostMs = Infinity;
	for (const candidate of candidates) {
		const choice = evaluateEngine(candidate, demand);
		if (choice.memoryFraction > maxMemoryPart || choice.slotFraction > 1) {
			continue;
		}

		const costMs = choice.costMs + random.nextUnit() * jitterMs;
		if (costMs < bestCostMs) {
			bestCostMs = costMs;
			best = choice;
		}
	}

	return best;
}

/** Part of an engine's memory that a copy inside the zone is worth; between zones it takes twice as long. */
const otherZonePart = 0.02;

/** Engine that runs a generation. */
export type EngineLocation = {
	readonly targetId: string;
	readonly availabilityZone: string;
};

/**
 * Chooses the engine that keeps a copy of a run's memory: the one with the most memory left.
 * @param maxMemoryPart - part of the memory up to which copies of other engines' runs are taken
 * @returns undefined if no engine has room without risk to its own runs
 */
export function chooseCopyEngine(
	candidates: readonly EngineCandidate[],
	demand: PlacementRequest,
	from: EngineLocation,
	maxMemoryPart: number,
): string | undefined {
	let best: string | undefined;
	let bestPart = maxMemoryPart;
	for (const candidate of candidates) {
		if (candidate.targetId === from.targetId || candidate.isOutlier) {
			continue;
		}

		const {memoryFraction} = evaluateEngine(candidate, demand);
		const part =
			memoryFraction +
			(candidate.availabilityZone === from.availabilityZone
				? 0
				: otherZonePart);
		if (part < bestPart) {
			bestPart = part;
			best = candidate.targetId;
		}
	}

	return best;
}
