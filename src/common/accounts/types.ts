/** What a client account's contract grants, counted in output tokens. */
export type Contract = {
	/** Guaranteed in every minute. */
	readonly floorTokensPerMinute: number;
	/** Never exceeded in a minute. */
	readonly ceilingTokensPerMinute: number;
	/** Weight of the account's share of what is left above the floors. */
	readonly shareWeight: number;
};

/** How the fleet treats a class of requests. */
export type ClassSettings = {
	/** Delivery for requests that do not declare one. */
	readonly defaultDelivery: 'whole' | 'restartable' | 'live';
	/** Time in which a caller that left may come back, in milliseconds. */
	readonly resumeWindowMs: number;
	/** Largest number of tokens of one answer. */
	readonly maxTokens: number;
	/** Time until the first token after which a request is refused, in milliseconds. */
	readonly queueTimeoutMs: number;
};

/** What a deployment pays for each unit of the three measures. */
export type CostWeights = {
	readonly stallPerSecond: number;
	readonly preemption: number;
	/** For each second of the 99th percentile of the time between tokens. */
	readonly tailPerSecond: number;
};
