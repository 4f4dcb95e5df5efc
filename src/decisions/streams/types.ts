import type {
	Delivery,
	Disposable,
	Engine,
	FinishReason,
	ProblemError,
	ProblemType,
} from '../../common/index.js';

/** Request of a caller for a generation. */
export type GenerationRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly delivery: Delivery;
	/** Monotonic time after which the caller no longer waits, in milliseconds. */
	readonly deadlineMs?: number;
};

/** Where a generation runs. */
export type GenerationPlacement = {
	readonly targetId: string;
	readonly generationId: string;
	/** Number of generations started for the same request before this one. */
	readonly attempt: number;
};

/** Writes the response to the caller. */
export type CallerSink = {
	/** True if the caller receives its position in the stream: it can resume and supports restarts. */
	readonly resumable: boolean;
	/** The request was placed; a resumable caller may resume this generation from now on. */
	accepted(placement: GenerationPlacement): void;
	/**
	 * @param receivedCount - number of tokens that the caller has after this one
	 * @returns false if the caller applies backpressure; `RelaySession.drained` is called when it ends
	 */
	token(receivedCount: number, text: string): boolean;
	/** All tokens so far are invalid; a new generation begins at position 0. */
	restarted(placement: GenerationPlacement): void;
	keepAlive(): void;
	finished(reason: FinishReason, tokenCount: number): void;
	failed(error: ProblemError): void;
};

/** Why a new connection to an engine was opened for the same generation. */
export type ReopenCause = 'stalled' | 'gap' | 'failed' | 'reread';

/** Metrics of one client account and request class. */
export type RelayMetrics = {
	/** Time from the request to its first token, in milliseconds. */
	firstToken(durationMs: number): void;
	/** Time between two consecutive tokens, in milliseconds. */
	interTokenTime(durationMs: number): void;
	/** A complete response. */
	finished(durationMs: number, stallMs: number): void;
	reopened(cause: ReopenCause): void;
	restarted(): void;
	/** The request failed. */
	failed(type: ProblemType): void;
};

/** Limits the restarts of lost generations, by target and by client account. */
export type RestartBudget = {
	/** @returns false if the budget of the target or of the account is used up */
	tryTake(account: string, targetId: string): boolean;
};

/** Engine, id and priority that the placer assigned to a generation. */
export type EngineAssignment = {
	readonly engine: Engine;
	readonly generationId: string;
	/** Smaller is more important. */
	readonly priority: number;
};

/** How a generation ended at its engine. */
export type GenerationOutcome = 'finished' | 'lost' | 'cancelled';

/**
 * Admits generations and chooses engines for them. A generation waits while no engine has room; it is
 * refused at once if its expected wait exceeds its queue timeout.
 */
export type GenerationPlacer = {
	/**
	 * Requests a placement. Exactly one of the callbacks is called, possibly before `place` returns;
	 * neither is called after a disposal.
	 * @param avoidTargetId - target that just lost this generation; used only if there is no other
	 * @returns disposable that removes a waiting request from the queue
	 */
	place(
		request: GenerationRequest,
		callbacks: {
			onPlaced(placed: EngineAssignment): void;
			/** Called with `not-run`, `rate-limited` or `unknown-model`. */
			onRefused(problem: ProblemError): void;
		},
		avoidTargetId?: string,
	): Disposable;
	/**
	 * The generation has progressed; called every few tokens.
	 * @param producedTokens - output tokens so far
	 */
	progressed(generationId: string, producedTokens: number): void;
	/** The generation has ended; frees what it holds. */
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): void;
	/**
	 * Takes over a generation that another entry VM placed.
	 * @param receivedCount - number of tokens that the caller has
	 * @returns the engine, or undefined if the target is unknown
	 */
	adopt(
		request: GenerationRequest,
		placement: GenerationPlacement,
		receivedCount: number,
	): Engine | undefined;
};
