/** A run, or the copy of one, as the VM that serves its caller tells of it. */
export type RunState = {
	/** Id of the request. */
	readonly id: string;
	/** Engine that runs it. */
	readonly targetId: string;
	/** Engine that keeps a copy of its memory. */
	readonly copyTargetId: string | undefined;
	readonly promptTokens: number;
	/** Tokens produced so far; 0 until the first event. */
	readonly doneTokens: number;
	/** Further tokens that are expected. */
	readonly remainingTokens: number;
	/** Engine priority; 0 is the most urgent. */
	readonly priority: number;
};

/** A generation that looks for an engine. */
export type PlacementRequest = {
	/** Names the question; asked again, it is answered in the same way. */
	readonly id: string;
	readonly service: string;
	/** A run, or a place for the copy of one whose engine leaves. */
	readonly purpose: 'copy' | 'run';
	readonly promptTokens: number;
	readonly expectedTokens: number;
	/** Tokens that a run has produced; 0 for one that has not begun. */
	readonly doneTokens: number;
	/** Zone whose engines are preferred. */
	readonly preferredZone: string;
	/** Engines that are not to be used. */
	readonly excludedTargetIds: readonly string[];
	/** Time that the caller has waited in earlier attempts, in milliseconds. */
	readonly previousWaitMs: number;
	/** Time that it has waited in this one, in milliseconds. */
	readonly waitedMs: number;
	/** Time in which the first token is due, in milliseconds. */
	readonly objectiveMs: number;
	/** Time that is left for the whole answer, in milliseconds. */
	readonly remainingMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
};

/** Where a generation goes. */
export type Placement = {
	readonly targetId: string;
	/** Engine that keeps a copy from the start, if memory allows. */
	readonly copyTargetId: string | undefined;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Part of the engine's memory that is expected to be in use at the peak. */
	readonly memoryFraction: number;
	/** True if the first token is not expected in time, so that it yields to others. */
	readonly isLate: boolean;
};

/** Answer to a demand. */
export type PlacementDecision =
	| {readonly outcome: 'placed'; readonly placement: Placement}
	| {readonly outcome: 'waiting'; readonly waitingCount: number}
	| {
			readonly outcome: 'refused';
			readonly reason: string;
			/** Time after which the caller may come back, in milliseconds. */
			readonly retryAfterMs: number;
	  };
