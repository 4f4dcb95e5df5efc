import type {RandomSource} from '../../../common/index.js';

/** What a target does with a call that it gets at a time. */
export type TargetBehavior = 'answer' | 'error' | 'hang' | 'reset';

export type TargetFleetOptions = {
	readonly seed: number;
	readonly vmCount: number;
	/** Number of targets; the availability zones of the VMs and targets take turns. */
	readonly targetCount?: number;
	readonly behaviorOf: (
		targetIndex: number,
		nowMs: number,
		random: RandomSource,
	) => TargetBehavior;
	readonly durationMs: number;
	/** False for a fleet without idempotent calls. */
	readonly hasIdempotentCalls?: boolean;
	/** Fraction of the messages between VMs that are lost. */
	readonly lossShare?: number;
	/** Fraction of the messages between VMs that are half a second late. */
	readonly lateShare?: number;
	/** Time at which the coordinator ends, in milliseconds. */
	readonly coordinatorEndsMs?: number;
	/** False for VMs that decide by their own calls alone. */
	readonly isExchanging?: boolean;
};

/** What became of the calls. */
export type TargetFleetResult = {
	callCount: number;
	/** Lost calls that are not idempotent. */
	lostOther: number;
	/** Lost idempotent calls, without those that fail wherever they run. */
	lostIdempotent: number;
	/** Second sends of idempotent calls. */
	retryCount: number;
	messageCount: number;
	/** Calls sent, by target; monotonic times in milliseconds. */
	readonly sentMs: number[][];
	/** Begin and end of each avoidance at the coordinator. */
	readonly avoidances: Array<{
		readonly targetId: string;
		readonly change: 'begins' | 'ends';
		readonly atMs: number;
	}>;
};
