import type {RandomSource} from '../../common/index.js';
import type {LoadShare} from './target-load.js';

/** An engine that a generation may go to. */
export type EngineCandidate = {
	readonly targetId: string;
	readonly availabilityZone: string;
	readonly slotCount: number;
	readonly capacityTokens: number;
	readonly load: LoadShare;
	/** True if the engine failed of late. */
	readonly suspect: boolean;
};

/** A generation that looks for an engine. */
export type PlacementDemand = {
	readonly promptTokens: number;
	readonly expectedOutputTokens: number;
	/** Zone whose engines are preferred. */
	readonly nearZone: string;
	/** Cost of an engine in another zone, in milliseconds. */
	readonly otherZoneCostMs: number;
};

/** Speed of the engines. */
export type EngineSpeed = {
	readonly prefillTokensPerMs: number;
	/** Time that one more running request adds to each token, in milliseconds. */
	readonly stepPerRequestMs: number;
};

/** What was weighed for one engine. */
export type PlacementChoice = {
	readonly targetId: string;
	/** Part of the engine's memory that is expected to be in use at the peak. */
	readonly memoryPart: number;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	readonly costMs: number;
};

/** Speed of the engines of both deployments, from their sheets. */
export const defaultEngineSpeed: EngineSpeed = {
	prefillTokensPerMs: 14,
	stepPerRequestMs: 0.12,
};

/** Prompts are computed in chunks between the tokens of other requests, at about this part of the speed. */
const busyPrefillPart = 0.55;
/** Part of the memory up to which copies of other engines' runs are taken. */
const backupMemoryPart = 0.85;
/** Generations rarely peak together, so only part of their growth is counted. */
const growthPart = 0.6;
/** Part of the memory from which on more load risks a preemption. */
const safeMemoryPart = 0.85;
/** Cost of using all memory beyond the safe part, in milliseconds. */
const pressureCostMs = 20_000;
/** Cost of an engine that failed of late, in milliseconds. */
const suspectCostMs = 3000;
/** VMs decide at the same time on the same figures, so equal engines are told apart by chance. */
const jitterMs = 10;

/**
 * Weighs one engine.
 *
 * Answers the pattern "long prompts beside running streams": a prompt delays the tokens of all
 * requests beside it, so that its time counts once for itself and once for the streams there.
 */
function weigh(
	candidate: EngineCandidate,
	demand: PlacementDemand,
	speed: EngineSpeed,
): PlacementChoice {
	const {load, capacityTokens} = candidate;
	const {promptTokens} = demand;
	const rate =
		speed.prefillTokensPerMs * (load.openCount > 0 ? busyPrefillPart : 1);
	const firstTokenMs = (load.pendingPromptTokens + promptTokens) / rate;
	const slowerMs =
		demand.expectedOutputTokens * speed.stepPerRequestMs * load.openCount;
	const othersMs =
		(promptTokens / speed.prefillTokensPerMs) *
		Math.min(1, load.openCount / candidate.slotCount);
	const peakTokens =
		load.memoryTokens +
		demand.promptTokens +
		growthPart * (load.growthTokens + demand.expectedOutputTokens);
	const memoryPart = peakTokens / capacityTokens;
	const slotPart = (load.openCount + 1) / candidate.slotCount;
	const pressure = Math.max(
		0,
		Math.max(memoryPart, slotPart * safeMemoryPart) - safeMemoryPart,
	);
	const costMs =
		firstTokenMs +
		slowerMs +
		othersMs +
		pressure * pressureCostMs +
		(candidate.suspect ? suspectCostMs : 0) +
		(candidate.availabilityZone === demand.nearZone
			? 0
			: demand.otherZoneCostMs);
	return {targetId: candidate.targetId, memoryPart, firstTokenMs, costMs};
}

/**
 * Chooses the engine on which a generation costs itself and the others the least time.
 * @returns undefined if there is no candidate
 */
export function chooseEngine(
	candidates: readonly EngineCandidate[],
	demand: PlacementDemand,
	random: RandomSource,
	speed: EngineSpeed = defaultEngineSpeed,
): PlacementChoice | undefined {
	let best: PlacementChoice | undefined;
	let bestCostMs = Infinity;
	for (const candidate of candidates) {
		const choice = weigh(candidate, demand, speed);
		const costMs = choice.costMs + random.nextUnit() * jitterMs;
		if (costMs < bestCostMs) {
			bestCostMs = costMs;
			best = choice;
		}
	}

	return best;
}

/**
 * Chooses the engine that keeps a copy of a run's memory: the one with the most memory left.
 * @param neededTokens - size of the copy at its largest
 * @returns undefined if no engine has room without risk to its own runs
 */
export function chooseBackup(
	candidates: readonly EngineCandidate[],
	runTargetId: string,
	neededTokens: number,
	ownZone: string,
): string | undefined {
	let best: string | undefined;
	let bestPart = backupMemoryPart;
	for (const candidate of candidates) {
		if (candidate.targetId === runTargetId || candidate.suspect) {
			continue;
		}

		const {load, capacityTokens} = candidate;
		const peakTokens =
			load.memoryTokens + growthPart * load.growthTokens + neededTokens;
		// Copies between zones take twice as long.
		const zonePart = candidate.availabilityZone === ownZone ? 0 : 0.02;
		const part = peakTokens / capacityTokens + zonePart;
		if (part < bestPart) {
			bestPart = part;
			best = candidate.targetId;
		}
	}

	return best;
}
