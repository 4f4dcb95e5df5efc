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

/** A target and the requests per second that it accepts from all VMs together. */
export type LimitedTarget = {
	readonly targetId: string;
	readonly requestsPerSecond: number;
};

/** Request for the permit to send one request to one of several targets with a rate limit. */
export type PermitRequest = {
	/** In the order of preference, for equal waits. */
	readonly targets: readonly LimitedTarget[];
	/** Longest time that the request may wait for its turn, in milliseconds. */
	readonly maxWaitMs: number;
	/** True if the request continues a run; it may go ahead of the turn of new requests. */
	readonly isUrgent: boolean;
};

/** Decision on a permit request. */
export type PermitDecision =
	| {
			readonly outcome: 'granted';
			readonly targetId: string;
			/** Time after which the request may be sent, in milliseconds. */
			readonly waitMs: number;
	  }
	| {
			readonly outcome: 'denied';
			/** Time until the next turn at any of the targets, in milliseconds. */
			readonly waitMs: number;
			/** Time after which the caller may try again, behind the callers that were denied before, in milliseconds. */
			readonly retryAfterMs: number;
	  };
