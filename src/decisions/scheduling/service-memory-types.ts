import type {Clock, RandomSource} from '../../common/index.js';
import type {EngineCandidate, EngineEvaluation} from './engine-placement.js';
import type {PendingGeneration} from './generation-queue.js';
import type {RunRegistry} from './run-registry.js';
import type {PlacementRequest} from './types.js';
import type {UrgentDemand} from './urgent-demand.js';

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
	 * Probability, by the forecast, that enough memory is free before the generation's longest wait is over.
	 * @param aheadTokens - memory that goes to generations ahead in the queue
	 */
	serviceChance(generation: PendingGeneration, aheadTokens: number): number;
	/**
	 * Probability that a generation finds memory free after a time, late as it is then.
	 * @param aheadTokens - memory that goes to generations ahead of it
	 * @param withinMs - in milliseconds
	 */
	freeChance(
		request: PlacementRequest,
		aheadTokens: number,
		withinMs: number,
	): number;
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
	/** Demand of the generations of the service that are more urgent than a priority. */
	readonly moreUrgentThan: (priority: number) => UrgentDemand;
};
