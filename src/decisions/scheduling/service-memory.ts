import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineChoice,
} from './engine-placement.js';
import {
	neededTokens,
	slackMs,
	type Waiting,
	waitedMs,
	waitLimitMs,
} from './generation-queue.js';
import {freedTokens, peakTokens} from './memory-forecast.js';
import type {EngineUse, RunBook} from './run-book.js';
import type {PlaceDemand} from './types.js';

/** An engine as the directory has it. */
export type EngineEntry = Omit<EngineCandidate, 'tokenMs' | 'use'>;

/** An engine that has room, and when it may give the first token. */
export type Chosen = {
	readonly choice: EngineChoice;
	/** True if the first token is not expected in time. */
	readonly isLate: boolean;
};

/** Memory of the engines of one service at one moment, as far as it is known and forecast. */
export type ServiceMemory = {
	/** Why a demand can never be served, if it cannot. */
	impossible(demand: PlaceDemand): string | undefined;
	/** Chooses an engine for a run if one has room now; late ones only have what is to spare. */
	chooseForRun(waiting: Waiting): Chosen | undefined;
	/** Chooses the engine that keeps a copy of a run from its start, if there is memory to spare. */
	chooseBackup(demand: PlaceDemand, targetId: string): string | undefined;
	/** Chooses the engine that keeps a copy of a run whose engine leaves. */
	chooseKeeper(demand: PlaceDemand): EngineChoice | undefined;
	/** Time that a demand may go on to wait, in milliseconds. */
	leftForWaitMs(waiting: Waiting): number;
	/**
	 * True if a demand finds memory by the forecast.
	 * @param aheadTokens - memory that goes to others before it
	 */
	isHopeful(waiting: Waiting, aheadTokens: number): boolean;
};

/** What the memory of a service is worked out from. */
export type ServiceMemoryOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly book: RunBook;
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

const isShort = ({expectedTokens}: PlaceDemand) => expectedTokens < shortTokens;

const fleetPartOf = (demand: PlaceDemand) =>
	isShort(demand) ? shortFleetMemoryPart : fleetMemoryPart;

type Peaks = {
	readonly peak: number;
	/** The same until a short generation has ended. */
	readonly soon: number;
};

/** Forecasts by the use that they were made of; the book keeps a use until something changes. */
const peaksByUse = new WeakMap<EngineUse, Peaks>();

function peaksOf(use: EngineUse): Peaks {
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
	book,
	engines,
}: ServiceMemoryOptions): ServiceMemory {
	const candidates: readonly EngineCandidate[] = engines.map((entry) => ({
		...entry,
		use: book.use(entry.targetId),
		tokenMs: book.tokenMs(entry.targetId),
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
	const freeFor = (demand: PlaceDemand, part: number) =>
		part * allTokens - (isShort(demand) ? soonPeak : peak);

	const notAvoided = ({avoid}: PlaceDemand) =>
		avoid.length === 0
			? candidates
			: candidates.filter(({targetId}) => !avoid.includes(targetId));

	const leftForWaitMs = (waiting: Waiting) => {
		const tokenMs = Math.min(...candidates.map((engine) => engine.tokenMs));
		return (
			waitLimitMs(waiting.demand, tokenMs) - waitedMs(waiting, clock.nowMs())
		);
	};

	return {
		impossible(demand) {
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
			const {demand} = waiting;
			// A single engine has no others to fall back on; its own limit is enough.
			const fits = (part: number) =>
				candidates.length === 1 ||
				freeFor(demand, part) >= neededTokens(demand);
			const enginePart = isShort(demand)
				? shortEngineMemoryPart
				: engineMemoryPart;
			const isTried = isShort(demand) || misses < maxMisses;
			if (!isTried || !fits(fleetPartOf(demand))) {
				return undefined;
			}

			const choice = chooseEngine(
				notAvoided(demand),
				demand,
				enginePart,
				random,
			);
			if (!choice) {
				misses += isShort(demand) ? 0 : 1;
				return undefined;
			}

			const nowMs = clock.nowMs();
			const dueMs =
				demand.elapsedMs + waitedMs(waiting, nowMs) + choice.firstTokenMs;
			const isLate =
				slackMs(waiting, nowMs) <= 0 || dueMs > timelyPart * demand.objectiveMs;
			return isLate && !fits(lateFleetMemoryPart)
				? undefined
				: {choice, isLate};
		},
		chooseBackup(demand, targetId) {
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
		chooseKeeper: (demand) =>
			chooseEngine(notAvoided(demand), demand, evacuationMemoryPart, random),
		leftForWaitMs,
		isHopeful(waiting, aheadTokens) {
			const {demand} = waiting;
			const withinMs = leftForWaitMs(waiting);
			if (withinMs <= 0) {
				return false;
			}

			let free = freeFor(demand, fleetPartOf(demand)) - aheadTokens;
			for (const {use, tokenMs} of candidates) {
				free += freedTokens(use.held, withinMs / tokenMs);
			}

			return neededTokens(demand) <= free;
		},
	};
}
