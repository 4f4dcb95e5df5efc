import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
} from './engine-placement.js';
import {
	isShort,
	neededTokens,
	type PendingGeneration,
	slackMs,
	currentWaitMs,
	waitLimitMs,
} from './generation-queue.js';
import {
	exceedanceChance,
	freedTokens,
	type MemoryDistribution,
	peaksOf,
} from './memory-forecast.js';
import type {
	ServiceMemory,
	ServiceMemoryOptions,
} from './service-memory-types.js';
import type {PlacementRequest} from './types.js';
import {keepUrgentReserve} from './urgent-reserve.js';

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
 * Fraction of the memory of all engines up to which late long generations are started. The rest is left to those
 * that can be on time. A lower one lets memory lie idle while late generations, which are served all the same,
 * wait in vain.
 */
const lateServiceMemoryFraction = 0.65;
/** Fraction of the memory of all engines up to which runs get a copy from the start. */
const copyServiceMemoryFraction = 0.78;
/** Fraction of the objective in which the first token must be expected to count as on time. */
const onTimeFraction = 0.95;
/** Horizons of the forecast are rounded up to a multiple of this time, in milliseconds. */
const horizonStepMs = 250;
/** Number of long generations that find no engine after which other long ones are not tried. */
const maxMisses = 4;

const serviceFractionFor = (request: PlacementRequest) =>
	isShort(request) ? shortServiceMemoryFraction : serviceMemoryFraction;

/** Takes a snapshot of the memory of a service. */
export function createServiceMemory({
	clock,
	random,
	registry,
	engines,
	moreUrgentThan,
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

	/** Engines that may be used without taking memory that more urgent generations are expected to need. */
	const reserveFor = (request: PlacementRequest) =>
		keepUrgentReserve(
			notExcluded(request),
			request,
			moreUrgentThan(request.priority),
		);

	const freedByHorizon = new Map<number, MemoryDistribution>();

	/** Memory of the service that is freed in a time, in tokens. */
	const freedWithin = (withinMs: number): MemoryDistribution => {
		const horizonMs = Math.ceil(withinMs / horizonStepMs) * horizonStepMs;
		let freed = freedByHorizon.get(horizonMs);
		if (!freed) {
			let mean = 0;
			let variance = 0;
			for (const {usage, interTokenMs} of candidates) {
				const one = freedTokens(usage.held, horizonMs / interTokenMs);
				mean += one.mean;
				variance += one.variance;
			}

			freed = {mean, variance};
			freedByHorizon.set(horizonMs, freed);
		}

		return freed;
	};

	const remainingWaitMs = (generation: PendingGeneration) => {
		const interTokenMs = Math.min(
			...candidates.map((engine) => engine.interTokenMs),
		);
		return (
			waitLimitMs(generation.request, interTokenMs) -
			currentWaitMs(generation, clock.nowMs())
		);
	};

	/** Probability that a fraction of the memory has room for a generation after a time. */
	const chanceWithin = (
		request: PlacementRequest,
		aheadTokens: number,
		fraction: number,
		withinMs: number,
	) => {
		const {mean, variance} = freedWithin(withinMs);
		const usable = candidates.length === 1 ? 1 : fraction;
		const free =
			freeFor(request, usable) - aheadTokens - reserveFor(request).keptTokens;
		return exceedanceChance(
			{mean: free + mean, variance},
			neededTokens(request),
		);
	};

	const freeChance = (
		request: PlacementRequest,
		aheadTokens: number,
		withinMs: number,
	) =>
		chanceWithin(
			request,
			aheadTokens,
			isShort(request) ? shortServiceMemoryFraction : lateServiceMemoryFraction,
			withinMs,
		);

	return {
		freeChance,
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
			const reserve = reserveFor(request);
			// Memory is kept free across engines to move runs when one leaves. A single engine has no other to
			// move them to, so only its own limit applies.
			const fits = (fraction: number) =>
				candidates.length === 1 ||
				freeFor(request, fraction) - reserve.keptTokens >=
					neededTokens(request);
			const engineFraction = isShort(request)
				? shortEngineMemoryFraction
				: engineMemoryFraction;
			const isTried = isShort(request) || misses < maxMisses;
			if (!isTried || !fits(serviceFractionFor(request))) {
				return undefined;
			}

			const engine = chooseEngine(
				reserve.engines,
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
		serviceChance(generation, aheadTokens) {
			const {request} = generation;
			const withinMs = remainingWaitMs(generation);
			if (withinMs <= 0) {
				return 0;
			}

			if (isShort(request)) {
				return freeChance(request, aheadTokens, withinMs);
			}

			// Once late, a long generation gets only spare memory.
			const onTimeMs = Math.min(withinMs, slackMs(generation, clock.nowMs()));
			const onTimeChance =
				onTimeMs > 0
					? chanceWithin(request, aheadTokens, serviceMemoryFraction, onTimeMs)
					: 0;
			return Math.max(onTimeChance, freeChance(request, aheadTokens, withinMs));
		},
	};
}
