/** What a VM knows of the rate limit of a target, as told to another VM. */
export type RateLimitReport = {
	readonly targetId: string;
	/** Requests per second that the target accepts from all VMs together; undefined if it has lifted its limit. */
	readonly requestsPerSecond: number | undefined;
	/** Time since a response of the target showed this, in milliseconds. */
	readonly ageMs: number;
};

/** A rate limit that a target has set, changed or lifted. */
export type RateLimitChange = {
	readonly targetId: string;
	/** Undefined if the target has lifted its limit. */
	readonly requestsPerSecond: number | undefined;
	/** Limit before the change; undefined if there was none. */
	readonly previousPerSecond: number | undefined;
	/** Whether this VM received the response that showed the change, or learned of it from another VM. */
	readonly source: 'peer' | 'response';
	/** Time since the response that showed the change, in milliseconds. */
	readonly ageMs: number;
};
