import type {TargetDescription} from '../../../common/index.js';

/** Demand for one model in the whole fleet. */
export type ModelDemand = {
	/** Tokens that its running generations produce. */
	readonly tokensPerSecond: number;
	/** Generations that wait in the queues of engines. */
	readonly queueLength: number;
};

/** Settings of one model. Its copies, as the settings call them, are replicas on different engines. */
export type ModelSettings = {
	readonly version: string;
	/** Replicas kept at any demand. A model with demand keeps at least one even if this is 0. */
	readonly minCopies: number;
	readonly maxCopies: number;
	/** Tokens that one replica produces at full load. */
	readonly tokensPerSecondPerCopy: number;
	/** Tokens that one running generation produces. */
	readonly tokensPerSecondPerStream: number;
	/** Number of waiting generations for which one more replica is added. */
	readonly queuePerCopy: number;
};

/** Settings of the placement of replicas on engines. */
export type PlacementSettings = {
	/** Load of the replicas above which one more is added, from 0 to 1. */
	readonly growAtLoad: number;
	/** Load of the remaining replicas below which one is unloaded; at most `growAtLoad`. */
	readonly shrinkAtLoad: number;
	/**
	 * Time for which a surplus must last, and time since the last change of the number of replicas,
	 * before a replica is unloaded, in milliseconds.
	 */
	readonly minDwellMs: number;
	/** Age of the last load report above which a target does not count as live, in milliseconds. */
	readonly staleAfterMs: number;
	/**
	 * Time after which the next engine in the ranking becomes a candidate as well, if the command for
	 * the earlier ones was not carried out, in milliseconds.
	 */
	readonly stepInMs: number;
};

/** Last known state of an engine on one VM, from its load report. */
export type EngineView = {
	readonly target: TargetDescription;
	readonly models: readonly string[];
	readonly leaving: boolean;
	/** Monotonic time at which the values of the load report were current, in milliseconds. */
	readonly seenMs: number;
	readonly runningCount: number;
	readonly waitingCount: number;
};

/** Command that a plan has chosen for a target. */
export type PlannedCommand = {
	readonly targetId: string;
	readonly kind: 'load-model' | 'unload-model';
	readonly model: string;
	readonly version: string;
	readonly cause: string;
};

/** State of one model that is kept between plans. Times are monotonic. */
export type ReplicaHistory = {
	readonly replicaCount: number;
	/** When the number of replicas last changed. */
	readonly changedMs: number;
	/** When replicas were first missing since the number last changed. */
	readonly missingSinceMs: number | undefined;
	/** When there were first too many replicas since the number last changed. */
	readonly surplusSinceMs: number | undefined;
};
