/** Guaranteed, largest and proportional share of a client account, counted in output tokens. */
export type Contract = {
	/** Tokens that the account is guaranteed in every minute. */
	readonly floorTokensPerMinute: number;
	/** Largest number of tokens that the account may use in a minute. */
	readonly ceilingTokensPerMinute: number;
	/** Weight of the account in the division of the capacity that is left above all floors. */
	readonly shareWeight: number;
};

/** Settings of a request class. */
export type ClassSettings = {
	/** Delivery mode of requests that do not declare one. */
	readonly defaultDelivery: 'whole' | 'restartable' | 'live';
	/** Time within which a disconnected caller may resume its stream, in milliseconds. */
	readonly resumeWindowMs: number;
	/** Largest number of output tokens of one generation. */
	readonly maxTokens: number;
	/** Longest time that a request may wait for its first token before it is refused, in milliseconds. */
	readonly queueTimeoutMs: number;
};

/** Cost that a deployment assigns to each unit of the three quality measures. */
export type CostWeights = {
	/** Cost of each second that a stream stalls. */
	readonly stallPerSecond: number;
	/** Cost of each preemption. */
	readonly preemption: number;
	/** Cost of each second of the 99th percentile of the time between tokens. */
	readonly tailPerSecond: number;
};
