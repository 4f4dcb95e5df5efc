import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineEvaluation,
} from './engine-placement.js';
import {
	neededTokens,
	type QueuedGeneration,
	slackMs,
	waitedMs,
	waitLimitMs,
} from './generation-queue.js';
import {freedTokens, peakTokens} from './memory-forecast.js';
import type {EngineUse, RunRegistry} from './run-registry.js';
import type {PlacementRequest} from './types.js';

/** An engine as it is listed, without its load. */
export type EngineEntry = Omit<EngineCandidate, 'tokenMs' | 'use'>;

/** Engine that was chosen for a run. */
export type EngineSelection = {
	readonly engine: EngineEvaluation;
	/** True if the first token is expected to miss the objective. */
	readonly isLate: boolean;
};

/**
 * KV cache memory of all engines of one service: a snapshot of its use, with a forecast from it. Needs to
 * be created again after a placement.
 */
export type ServiceMemory = {
	/** @returns why no engine can ever serve the request; undefined if one can */
	infeasibleReason(request: PlacementRequest): string | undefined;
	/**
	 * Chooses an engine for a run.
	 * @returns undefined if none has room now; late runs only get memory that is to spare
	 */
	chooseForRun(generation: QueuedGeneration): EngineSelection | undefined;
	/**
	 * Chooses the engine that holds a copy of a run's KV cache from its start.
	 * @param targetId - engine of the run
	 * @returns undefined if there is no memory to spare
	 */
	chooseInitialCopyEngine(
		request: PlacementRequest,
		targetId: string,
	): string | undefined;
	/**
	 * Chooses the engine that holds the copy of a run whose engine is leaving.
	 * @returns undefined if none has room
	 */
	chooseEvacuationEngine(
		request: PlacementRequest,
	): EngineEvaluation | undefined;
	/** Time for which a generation may still wait, in milliseconds; not positive once it is over. */
	remainingWaitMs(generation: QueuedGeneration): number;
	/**
	 * True if, by the forecast, enough memory is free before the generation's longest wait is over.
	 * @param aheadTokens - memory that goes to generations ahead in the queue
	 */
	fitsInTime(generation: QueuedGeneration, aheadTokens: number): boolean;
};

export type ServiceMemoryOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly registry: RunRegistry;
	/** Engines of the service that take requests now. */
	readonly engines: readonly EngineEntry[];
};

/**
 * Fraction of an engine's memory that the forecast peak may reach. It exceeds 1 since many runs end before
 * the forecast says.
 */
const engineMemoryFraction = 1.02;
/** The same for short generations, which free their memory soon. */
const shortEngineMemoryFraction = 1;
/** The same for runs whose engine is leaving; a possible preemption is no worse than losing them. */
const evacuationMemoryFraction = 1.2;
/**
 * Fraction of the memory of all engines up to which generations are started. The rest is kept free since
 * engines leave at any time.
 */
const fleetMemoryFraction = 0.93;
/** The same for short generations, so that they need not wait for long ones to end. */
const shortFleetMemoryFraction = 0.97;
/** The same for generations that are late already. */
const lateFleetMemoryFraction = 0.65;
/** Fraction of the memory of all engines up to which runs get a copy from the start. */
const copyFleetMemoryFraction = 0.78;
/** Generations with fewer tokens are short; they end before a copy would be of use. */
const shortTokens = 100;
/** Fraction of the objective in which the first token must be expected to count as on time. */
const onTimeFraction = 0.95;
/** Number of long generations that find no engine after which other long ones are not tried. */
const maxMisses = 4;

const isShort = ({expectedTokens}: PlacementRequest) =>
	expectedTokens < shortTokens;

const fleetFractionFor = (request: PlacementRequest) =>
	isShort(request) ? shortFleetMemoryFraction : fleetMemoryFraction;

type Peaks = {
	readonly peak: number;
	/** Peak until a short generation that starts now has ended. */
	readonly shortTermPeak: number;
};

/** Cache of forecasts; the registry returns the same object until the use of the engine changes. */
const peaksByUse = new WeakMap<EngineUse, Peaks>();

function peaksOf(use: EngineUse): Peaks {
	let peaks = peaksByUse.get(use);
	if (!peaks) {
		peaks = {
			peak: peakTokens(use.held),
			shortTermPeak: peakTokens(use.held, shortTokens),
		};
		peaksByUse.set(use, peaks);
	}

	return peaks;
}

/** Takes a snapshot of the memory of a service. */
export function createServiceMemory({
	clock,
	random,
	registry,
	engines,
}: ServiceMemoryOptions): ServiceMemory {
	const candidates: readonly EngineCandidate[] = engines.map((entry) => ({
		...entry,
		use: registry.use(entry.targetId),
		tokenMs: registry.tokenMs(entry.targetId),
	}));
	let totalTokens = 0;
	/** Sum of the forecast peaks of all engines. */
	let peak = 0;
	/** The same until a short generation that starts now has ended. */
	let shortTermPeak = 0;
	for (const {capacityTokens, use} of candidates) {
		totalTokens += capacityTokens;
		const peaks = peaksOf(use);
		peak += peaks.peak;
		shortTermPeak += peaks.shortTermPeak;
	}

	/** Long generations for which no engine had room since the snapshot. */
	let misses = 0;

	/** Memory free for a request by the forecast, if a fraction of all memory may be used. */
	const freeFor = (request: PlacementRequest, fraction: number) =>
		fraction * totalTokens - (isShort(request) ? shortTermPeak : peak);

	const notExcluded = ({excludedTargetIds}: PlacementRequest) =>
		excludedTargetIds.length === 0
			? candidates
			: candidates.filter(
					({targetId}) => !excludedTargetIds.includes(targetId),
				);

	const remainingWaitMs = (generation: QueuedGeneration) => {
		const tokenMs = Math.min(...candidates.map((engine) => engine.tokenMs));
		return (
			waitLimitMs(generation.request, tokenMs) -
			waitedMs(generation, clock.nowMs())
		);
	};

	return {
		infeasibleReason(request) {
			if (notExcluded(request).length === 0) {
				return 'no engine of the service is usable';
			}

			return candidates.every(
				({capacityTokens}) => request.promptTokens > capacityTokens,
			)
				? 'the prompt is larger than the memory of an engine'
				: undefined;
		},
		chooseForRun(generation) {
			const {request} = generation;
			// Memory is kept free across engines to move runs when one leaves. A single engine has no other
			// to move them to, so that only its own limit applies.
			const fits = (fraction: number) =>
				candidates.length === 1 ||
				freeFor(request, fraction) >= neededTokens(request);
			const engineFraction = isShort(request)
				? shortEngineMemoryFraction
				: engineMemoryFraction;
			const isTried = isShort(request) || misses < maxMisses;
			if (!isTried || !fits(fleetFractionFor(request))) {
				return undefined;
			}

			const engine = chooseEngine(
				notExcluded(request),
				request,
				engineFraction,
				random,
			);
			if (!engine) {
				misses += isShort(request) ? 0 : 1;
				return undefined;
			}

			const nowMs = clock.nowMs();
			const totalFirstTokenMs =
				request.previousWaitMs +
				waitedMs(generation, nowMs) +
				engine.firstTokenMs;
			const isLate =
				slackMs(generation, nowMs) <= 0 ||
				totalFirstTokenMs > onTimeFraction * request.objectiveMs;
			return isLate && !fits(lateFleetMemoryFraction)
				? undefined
				: {engine, isLate};
		},
		chooseInitialCopyEngine(request, targetId) {
			const target = engines.find((entry) => entry.targetId === targetId);
			const isSpare =
				!isShort(request) &&
				freeFor(request, copyFleetMemoryFraction) >= 2 * neededTokens(request);
			return target && isSpare
				? chooseCopyEngine(
						candidates,
						{...request, purpose: 'copy'},
						target,
						copyFleetMemoryFraction,
					)
				: undefined;
		},
		chooseEvacuationEngine: (request) =>
			chooseEngine(
				notExcluded(request),
				request,
				evacuationMemoryFraction,
				random,
			),
		remainingWaitMs,
		fitsInTime(generation, aheadTokens) {
			const {request} = generation;
			const withinMs = remainingWaitMs(generation);
			if (withinMs <= 0) {
				return false;
			}

			let free = freeFor(request, fleetFractionFor(request)) - aheadTokens;
			for (const {use, tokenMs} of candidates) {
				free += freedTokens(use.held, withinMs / tokenMs);
			}

			return neededTokens(request) <= free;
		},
	};
}
