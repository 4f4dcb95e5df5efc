import type {TargetDescription} from '../../../common/index.js';

/** Demand for one model over the whole fleet. */
export type ModelDemand = {
	readonly tokensPerSecond: number;
	/** Generations that wait for a place. */
	readonly queueLength: number;
};

/** Wanted copies of one model. */
export type ModelSettings = {
	readonly version: string;
	/** Copies kept at any demand; at least one copy of a model in use stays in any case. */
	readonly minCopies: number;
	readonly maxCopies: number;
	/** Tokens that one copy produces at full load. */
	readonly tokensPerSecondPerCopy: number;
	/** Tokens that one running generation produces. */
	readonly tokensPerSecondPerStream: number;
	/** Waiting generations for which one more copy is wanted. */
	readonly queuePerCopy: number;
};

/** Settings of the placement of models. */
export type PlacementSettings = {
	/** Load of the copies above which one more is wanted, 0 to 1. */
	readonly growAtLoad: number;
	/** Load of the remaining copies below which one is given up, less than `growAtLoad`. */
	readonly shrinkAtLoad: number;
	/** Time for which a surplus must last, in milliseconds. */
	readonly minDwellMs: number;
	/** Time after which a target counts as not live, in milliseconds. */
	readonly staleAfterMs: number;
	/** Time after which a candidate steps in for the one before it, in milliseconds. */
	readonly stepInMs: number;
};

/** What a VM knows of an engine. */
export type EngineView = {
	readonly target: TargetDescription;
	readonly models: readonly string[];
	readonly leaving: boolean;
	/** Monotonic time for which the last load report's figures hold, in milliseconds. */
	readonly seenMs: number;
	readonly runningCount: number;
	readonly waitingCount: number;
};

/** A command that the plan wants now. */
export type PlannedCommand = {
	readonly targetId: string;
	readonly kind: 'load-model' | 'unload-model';
	readonly model: string;
	readonly version: string;
	readonly cause: string;
};

/** What a plan remembers of one model between rounds. Times are monotonic. */
export type ReplicaHistory = {
	readonly replicaCount: number;
	readonly changedMs: number;
	readonly missingSinceMs: number | undefined;
	readonly surplusSinceMs: number | undefined;
};
