import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineEvaluation,
} from './engine-placement.js';
import {
	neededTokens,
	slackMs,
	type PendingGeneration,
	currentWaitMs,
	waitLimitMs,
} from './generation-queue.js';
import {freedTokens, peakTokens} from './memory-forecast.js';
import type {EngineUsage, RunRegistry} from './run-registry.js';
import type {PlacementRequest} from './types.js';

/** An engine as the directory has it. */
export type EngineEntry = Omit<EngineCandidate, 'tokenMs' | 'use'>;

/** An engine that has room, and when it may give the first token. */
export type EngineSelection = {
	readonly engine: EngineEvaluation;
	/** True if the first token is not expected in time. */
	readonly isLate: boolean;
};

/** Memory of the engines of one service at one moment, as far as it is known and forecast. */
export type ServiceMemory = {
	/** Why a demand can never be served, if it cannot. */
	infeasibleReason(demand: PlacementRequest): string | undefined;
	/** Chooses an engine for a run if one has room now; late ones only have what is to spare. */
	chooseForRun(waiting: PendingGeneration): EngineSelection | undefined;
	/** Chooses the engine that keeps a copy of a run from its start, if there is memory to spare. */
	chooseInitialCopyEngine(
		demand: PlacementRequest,
		targetId: string,
	): string | undefined;
	/** Chooses the engine that keeps a copy of a run whose engine leaves. */
	chooseEvacuationEngine(
		demand: PlacementRequest,
	): EngineEvaluation | undefined;
	/** Time that a demand may go on to wait, in milliseconds. */
	remainingWaitMs(waiting: PendingGeneration): number;
	/**
	 * True if a demand finds memory by the forecast.
	 * @param aheadTokens - memory that goes to others before it
	 */
	fitsInTime(waiting: PendingGeneration, aheadTokens: number): boolean;
};

/** What the memory of a service is worked out from. */
export type ServiceMemoryOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly registry: RunRegistry;
	readonly engines: readonly EngineEntry[];
};

/** Part of an engine's memory that may be in use at the forecast peak, which many runs end before. */
const engineMemoryPart = 1.02;
/** The same with short generations, which free it soon. */
const shortEngineMemoryPart = 1;
/** The same for runs whose engine leaves: a possible preemption is no worse than their loss. */
const evacuationMemoryPart = 1.2;
/** Part of the memory of all engines up to which generations are begun; engines leave at any time. */
const fleetMemoryPart = 0.93;
/** The same for short generations, so that they need not wait for long ones to end. */
const shortFleetMemoryPart = 0.97;
/** The same for generations that are late already. */
const lateFleetMemoryPart = 0.65;
/** Part of the memory of all engines up to which runs get a copy from the start. */
const copyFleetMemoryPart = 0.78;
/** Shorter generations end before a copy of their memory would be of use. */
const shortTokens = 100;
/** Part of the objective in which a first token must be expected to count as timely. */
const timelyPart = 0.95;
/** After this many long generations without room the others of the moment are not tried. */
const maxMisses = 4;

const isShort = ({expectedTokens}: PlacementRequest) =>
	expectedTokens < shortTokens;

const fleetPartOf = (demand: PlacementRequest) =>
	isShort(demand) ? shortFleetMemoryPart : fleetMemoryPart;

type Peaks = {
	readonly peak: number;
	/** The same until a short generation has ended. */
	readonly soon: number;
};

/** Forecasts by the use that they were made of; the book keeps a use until something changes. */
const peaksByUse = new WeakMap<EngineUsage, Peaks>();

function peaksOf(use: EngineUsage): Peaks {
	let peaks = peaksByUse.get(use);
	if (!peaks) {
		peaks = {
			peak: peakTokens(use.held),
			soon: peakTokens(use.held, shortTokens),
		};
		peaksByUse.set(use, peaks);
	}

	return peaks;
}

/** Works out the memory of a service as it is now. */
export function createServiceMemory({
	clock,
	random,
	registry,
	engines,
}: ServiceMemoryOptions): ServiceMemory {
	const candidates: readonly EngineCandidate[] = engines.map((entry) => ({
		...entry,
		use: registry.usageOf(entry.targetId),
		tokenMs: registry.interTokenMs(entry.targetId),
	}));
	let allTokens = 0;
	/** Sum of the forecast peaks. */
	let peak = 0;
	/** The same until a short generation has ended. */
	let soonPeak = 0;
	for (const {capacityTokens, use} of candidates) {
		allTokens += capacityTokens;
		const peaks = peaksOf(use);
		peak += peaks.peak;
		soonPeak += peaks.soon;
	}

	/** Long generations for which no engine had room since this was worked out. */
	let misses = 0;

	/** Memory that is free for a demand by the forecast, if all engines may be filled to a part. */
	const freeFor = (demand: PlacementRequest, part: number) =>
		part * allTokens - (isShort(demand) ? soonPeak : peak);

	const notAvoided = ({excludedTargetIds}: PlacementRequest) =>
		excludedTargetIds.length === 0
			? candidates
			: candidates.filter(
					({targetId}) => !excludedTargetIds.includes(targetId),
				);

	const remainingWaitMs = (waiting: PendingGeneration) => {
		const tokenMs = Math.min(...candidates.map((engine) => engine.tokenMs));
		return (
			waitLimitMs(waiting.request, tokenMs) -
			currentWaitMs(waiting, clock.nowMs())
		);
	};

	return {
		infeasibleReason(demand) {
			if (notAvoided(demand).length === 0) {
				return 'no engine of the service is usable';
			}

			return candidates.every(
				({capacityTokens}) => demand.promptTokens > capacityTokens,
			)
				? 'the prompt is larger than the memory of an engine'
				: undefined;
		},
		chooseForRun(waiting) {
			const {request} = waiting;
			// A single engine has no others to fall back on; its own limit is enough.
			const fits = (part: number) =>
				candidates.length === 1 ||
				freeFor(request, part) >= neededTokens(request);
			const enginePart = isShort(request)
				? shortEngineMemoryPart
				: engineMemoryPart;
			const isTried = isShort(request) || misses < maxMisses;
			if (!isTried || !fits(fleetPartOf(request))) {
				return undefined;
			}

			const engine = chooseEngine(
				notAvoided(request),
				request,
				enginePart,
				random,
			);
			if (!engine) {
				misses += isShort(request) ? 0 : 1;
				return undefined;
			}

			const nowMs = clock.nowMs();
			const dueMs =
				request.previousWaitMs +
				currentWaitMs(waiting, nowMs) +
				engine.firstTokenMs;
			const isLate =
				slackMs(waiting, nowMs) <= 0 ||
				dueMs > timelyPart * request.objectiveMs;
			return isLate && !fits(lateFleetMemoryPart)
				? undefined
				: {engine, isLate};
		},
		chooseInitialCopyEngine(demand, targetId) {
			const target = engines.find((entry) => entry.targetId === targetId);
			const isSpare =
				!isShort(demand) &&
				freeFor(demand, copyFleetMemoryPart) >= 2 * neededTokens(demand);
			return target && isSpare
				? chooseCopyEngine(
						candidates,
						{...demand, purpose: 'copy'},
						target,
						copyFleetMemoryPart,
					)
				: undefined;
		},
		chooseEvacuationEngine: (demand) =>
			chooseEngine(notAvoided(demand), demand, evacuationMemoryPart, random),
		remainingWaitMs,
		fitsInTime(waiting, aheadTokens) {
			const {request} = waiting;
			const withinMs = remainingWaitMs(waiting);
			if (withinMs <= 0) {
				return false;
			}

			let free = freeFor(request, fleetPartOf(request)) - aheadTokens;
			for (const {use, tokenMs} of candidates) {
				free += freedTokens(use.held, withinMs / tokenMs);
			}

			return neededTokens(request) <= free;
		},
	};
}
