/** A run, and the copy of its KV cache if there is one, as reported by the VM that serves its caller. */
export type RunState = {
	/** Id of the placement request. */
	readonly id: string;
	/** Engine that generates. */
	readonly targetId: string;
	/** Engine that holds a copy of the KV cache. */
	readonly copyTargetId: string | undefined;
	readonly promptTokens: number;
	/** Tokens produced so far; 0 until the first event. */
	readonly doneTokens: number;
	/** Further tokens that are expected. */
	readonly remainingTokens: number;
	/** Engine priority; 0 is the most urgent. */
	readonly priority: number;
	/** Client account of the caller; '' without one. */
	readonly account: string;
};

/** Request for an engine, to run a generation or to hold a copy of its KV cache. */
export type PlacementRequest = {
	/** Idempotency key within the requesting VM: a repeated request gets the same placement. */
	readonly id: string;
	readonly service: string;
	/** `run`: an engine that generates; `copy`: one that holds a KV cache copy, without a prefill. */
	readonly purpose: 'copy' | 'run';
	readonly promptTokens: number;
	/** Tokens still to be generated, by the length forecast. */
	readonly expectedTokens: number;
	/** Tokens that the run has produced; 0 for one that has not started. */
	readonly doneTokens: number;
	/** Availability zone whose engines are preferred. */
	readonly preferredZone: string;
	/** Engines that must not be used. */
	readonly excludedTargetIds: readonly string[];
	/** Time that the caller has waited in earlier attempts, in milliseconds. */
	readonly previousWaitMs: number;
	/** Time that the caller had waited in this attempt when the request was sent, in milliseconds. */
	readonly waitedMs: number;
	/** Objective for the time to the first token, in milliseconds. */
	readonly objectiveMs: number;
	/** Time left until the deadline of the whole response, in milliseconds. */
	readonly remainingMs: number;
	/** Engine priority; 0 is the most urgent. */
	readonly priority: number;
	/** True for a copy of a run whose engine is not certain to be lost; it gets free memory only. */
	readonly isPrecaution: boolean;
	/** Client account of the caller; '' without one. */
	readonly account: string;
};

/** Engine that was chosen for a generation. */
export type Placement = {
	readonly targetId: string;
	/** Engine that holds a copy of the KV cache from the start, if memory allows. */
	readonly copyTargetId: string | undefined;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Fraction of the engine's memory that is expected to be in use at the peak. */
	readonly memoryFraction: number;
	/** True if the first token is expected to miss the objective; other generations then go first. */
	readonly isLate: boolean;
};

/** Decision on a placement request. */
export type PlacementDecision =
	| {readonly outcome: 'placed'; readonly placement: Placement}
	| {
			readonly outcome: 'waiting';
			/** Requests in the queue of all services at the decision; a new request is not counted. */
			readonly waitingCount: number;
	  }
	| {
			readonly outcome: 'refused';
			readonly reason: string;
			/** Time after which the caller may try again, in milliseconds. */
			readonly retryAfterMs: number;
	  };
