import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineEvaluation,
} from './engine-placement.js';
import {
	neededTokens,
	type PendingGeneration,
	slackMs,
	currentWaitMs,
	waitLimitMs,
} from './generation-queue.js';
import {freedTokens, peakTokens} from './memory-forecast.js';
import type {EngineUsage, RunRegistry} from './run-registry.js';
import type {PlacementRequest} from './types.js';

/** An engine as it is listed, without its load. */
export type EngineEntry = Omit<EngineCandidate, 'interTokenMs' | 'usage'>;

/** Engine that was chosen for a run. */
export type EngineSelection = {
	readonly engine: EngineEvaluation;
	/** True if the first token is expected to miss the objective. */
	readonly isLate: boolean;
};

/**
 * KV cache memory of all engines of one service: a snapshot of its usage, with a forecast. Needs to be
 * created again after a placement.
 */
export type ServiceMemory = {
	/** @returns why no engine could serve the request even with all memory free; undefined if one could */
	infeasibleReason(request: PlacementRequest): string | undefined;
	/**
	 * Chooses an engine for a run.
	 * @returns undefined if none has room now; long runs that are late get only spare memory
	 */
	chooseForRun(generation: PendingGeneration): EngineSelection | undefined;
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
	 * Chooses the engine that holds the copy of a run whose engine is leaving, or may be lost.
	 * @returns undefined if none has room
	 */
	chooseEvacuationEngine(
		request: PlacementRequest,
	): EngineEvaluation | undefined;
	/** Time for which a generation may still wait, in milliseconds; not positive once it is over. */
	remainingWaitMs(generation: PendingGeneration): number;
	/**
	 * True if, by the forecast, enough memory is free before the generation's longest wait is over.
	 * @param aheadTokens - memory that goes to generations ahead in the queue
	 */
	fitsInTime(generation: PendingGeneration, aheadTokens: number): boolean;
	/**
	 * Time until the engines' rate limits permit a generation, in milliseconds; 0 if one of them has no limit.
	 * @param aheadCount - number of generations that precede it in the queue
	 */
	turnDelayMs(request: PlacementRequest, aheadCount: number): number;
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
/** Fraction of an engine's memory that the peak may reach with a short generation, which frees its memory soon. */
const shortEngineMemoryFraction = 1;
/**
 * Fraction of an engine's memory that the peak may reach with a run whose engine is leaving. A possible
 * preemption is no worse than losing the run.
 */
const evacuationMemoryFraction = 1.2;
/**
 * Fraction of an engine's memory that the peak may reach with the copy of a run that goes on where it is, for
 * which no other run may be preempted.
 */
const precautionMemoryFraction = 1;
/**
 * Fraction of the memory of all engines up to which generations are started. The rest is kept free since
 * engines leave at any time.
 */
const serviceMemoryFraction = 0.93;
/**
 * Fraction of the memory of all engines up to which short generations are started; higher, so that they need
 * not wait for long ones to end.
 */
const shortServiceMemoryFraction = 0.97;
/**
 * Fraction of the memory of all engines up to which late generations are started, unless they are short: those
 * cost next to nothing, and are served to their callers all the same.
 */
const lateServiceMemoryFraction = 0.65;
/** Fraction of the memory of all engines up to which runs get a copy from the start. */
const copyServiceMemoryFraction = 0.78;
/** Generations with fewer tokens are short; they end before a copy would be of use. */
const shortTokens = 100;
/** Fraction of the objective in which the first token must be expected to count as on time. */
const onTimeFraction = 0.95;
/** Number of long generations that find no engine after which other long ones are not tried. */
const maxMisses = 4;

const isShort = ({expectedTokens}: PlacementRequest) =>
	expectedTokens < shortTokens;

const serviceFractionFor = (request: PlacementRequest) =>
	isShort(request) ? shortServiceMemoryFraction : serviceMemoryFraction;

type Peaks = {
	readonly peak: number;
	/** Peak until a short generation that starts now has ended. */
	readonly shortTermPeak: number;
};

/** Cache of forecasts; the registry returns the same object until the usage changes or expires. */
const peaksByUsage = new WeakMap<EngineUsage, Peaks>();

function peaksOf(usage: EngineUsage): Peaks {
	let peaks = peaksByUsage.get(usage);
	if (!peaks) {
		peaks = {
			peak: peakTokens(usage.held),
			shortTermPeak: peakTokens(usage.held, shortTokens),
		};
		peaksByUsage.set(usage, peaks);
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
		usage: registry.usageOf(entry.targetId),
		interTokenMs: registry.interTokenMs(entry.targetId),
	}));
	let totalTokens = 0;
	/** Sum of the forecast peaks of all engines. */
	let peak = 0;
	/** The same until a short generation that starts now has ended. */
	let shortTermPeak = 0;
	for (const {capacityTokens, usage} of candidates) {
		totalTokens += capacityTokens;
		const peaks = peaksOf(usage);
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

	const remainingWaitMs = (generation: PendingGeneration) => {
		const interTokenMs = Math.min(
			...candidates.map((engine) => engine.interTokenMs),
		);
		return (
			waitLimitMs(generation.request, interTokenMs) -
			currentWaitMs(generation, clock.nowMs())
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
			// Memory is kept free across engines to move runs when one leaves. A single engine has no other to
			// move them to, so only its own limit applies.
			const fits = (fraction: number) =>
				candidates.length === 1 ||
				freeFor(request, fraction) >= neededTokens(request);
			const engineFraction = isShort(request)
				? shortEngineMemoryFraction
				: engineMemoryFraction;
			const isTried = isShort(request) || misses < maxMisses;
			if (!isTried || !fits(serviceFractionFor(request))) {
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
			const callerFirstTokenMs =
				request.previousWaitMs +
				currentWaitMs(generation, nowMs) +
				engine.firstTokenMs;
			const isLate =
				slackMs(generation, nowMs) <= 0 ||
				callerFirstTokenMs > onTimeFraction * request.objectiveMs;
			const isSpareOnly = isLate && !isShort(request);
			return isSpareOnly && !fits(lateServiceMemoryFraction)
				? undefined
				: {engine, isLate};
		},
		chooseInitialCopyEngine(request, targetId) {
			const target = engines.find((entry) => entry.targetId === targetId);
			const isSpare =
				!isShort(request) &&
				freeFor(request, copyServiceMemoryFraction) >=
					2 * neededTokens(request);
			return target && isSpare
				? chooseCopyEngine(
						candidates,
						{...request, purpose: 'copy'},
						target,
						copyServiceMemoryFraction,
					)
				: undefined;
		},
		chooseEvacuationEngine: (request) =>
			chooseEngine(
				notExcluded(request),
				request,
				request.isPrecaution
					? precautionMemoryFraction
					: evacuationMemoryFraction,
				random,
			),
		remainingWaitMs,
		turnDelayMs(request, aheadCount) {
			let firstMs = Infinity;
			let turnsPerMs = 0;
			for (const {turns} of notExcluded(request)) {
				if (!turns) {
					return 0;
				}

				firstMs = Math.min(firstMs, turns.waitMs);
				turnsPerMs += 1 / turns.intervalMs;
			}

			return firstMs + aheadCount / turnsPerMs;
		},
		fitsInTime(generation, aheadTokens) {
			const {request} = generation;
			const withinMs = remainingWaitMs(generation);
			if (withinMs <= 0) {
				return false;
			}

			let free = freeFor(request, serviceFractionFor(request)) - aheadTokens;
			for (const {usage, interTokenMs} of candidates) {
				free += freedTokens(usage.held, withinMs / interTokenMs);
			}

			return neededTokens(request) <= free;
		},
	};
}
