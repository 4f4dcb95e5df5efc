/** Generations of one kind. */
export type ReplayKind = {
	readonly name: string;
	readonly promptTokens: number;
	/** Median length of the response, in tokens. */
	readonly outputTokens: number;
	readonly objectiveMs: number;
	/** Time limit of the whole response, in milliseconds. */
	readonly limitMs: number;
	readonly priority: number;
};

export type ReplayArrival = {
	readonly atMs: number;
	readonly kind: ReplayKind;
	readonly account: string;
};

/** What became of one request of a caller, with its second attempt. */
export type ReplayResult = ReplayArrival & {
	isServed: boolean;
	isOnTime: boolean;
	/** Time spent in the queue before refusals, in milliseconds. */
	heldInVainMs: number;
	/** Fraction of the time until the caller gives up after which each refusal came. */
	readonly refusedAtFractions: number[];
	readonly refusalReasons: string[];
};

export type ReplayOptions = {
	readonly arrivals: readonly ReplayArrival[];
	readonly engineCount: number;
	/** Time between two departures of 17% of the engines, in milliseconds; none by default. */
	readonly leaveIntervalMs?: number;
	/** Time at which another coordinator takes over, which knows the runs but not the queue, in milliseconds; never by default. */
	readonly takeoverMs?: number;
	readonly seed?: number;
};
