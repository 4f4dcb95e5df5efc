import type {
	Delivery,
	Disposable,
	Engine,
	FinishReason,
	ProblemError,
	ProblemType,
} from '../../common/index.js';

/** A generation as a caller asked for it. */
export type GenerationRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly delivery: Delivery;
	/** Monotonic time at which the caller stops waiting, in milliseconds. */
	readonly deadlineMs?: number;
};

/** Where a generation runs. */
export type GenerationPlacement = {
	readonly targetId: string;
	readonly generationId: string;
	/** Counts the generations that were started for one request, from 0. */
	readonly attempt: number;
};

/** Receives what the caller is to see. */
export type CallerSink = {
	/** True if the caller is told its place in the stream: it can come back and take a restart. */
	readonly resumable: boolean;
	/** The request was placed; a resumable caller may come back to this place from now on. */
	accepted(place: GenerationPlacement): void;
	/**
	 * @param position - number of tokens that the caller has after this one
	 * @returns false if the caller is slow and `drained` will follow
	 */
	token(position: number, text: string): boolean;
	/** All tokens so far are void; a new generation begins at position 0. */
	restarted(place: GenerationPlacement): void;
	/** Shows a waiting caller that the connection is alive. */
	keepAlive(): void;
	finished(reason: FinishReason, tokenCount: number): void;
	failed(error: ProblemError): void;
};

/** Why a link to an engine was opened again. */
export type ReopenCause = 'stalled' | 'gap' | 'failed' | 'reread';

/** Takes the measures of one client account and class. */
export type RelayMetrics = {
	firstToken(durationMs: number): void;
	/** Time between two tokens, in milliseconds. */
	interTokenTime(durationMs: number): void;
	/** A whole answer. */
	finished(durationMs: number, stallMs: number): void;
	reopened(cause: ReopenCause): void;
	restarted(): void;
	/** The request ended with a problem. */
	failed(type: ProblemType): void;
};

/** Allows the restarts that are not free. */
export type RestartBudget = {
	/** @returns false if the target or the account has used its share */
	tryTake(account: string, targetId: string): boolean;
};

/** An engine that was chosen for a generation. */
export type EngineAssignment = {
	readonly engine: Engine;
	readonly generationId: string;
	/** Smaller is more important. */
	readonly priority: number;
};

/** How a generation ended at its engine. */
export type GenerationOutcome = 'finished' | 'lost' | 'cancelled';

/**
 * Admits generations and chooses engines for them. A generation that finds no room waits; it is
 * refused at once when its wait would exceed its queue timeout.
 */
export type GenerationPlacer = {
	/**
	 * Asks for a place. Exactly one of the callbacks is called, possibly before `place` returns.
	 * @param avoidTargetId - target that just lost this generation
	 * @returns disposing it takes a waiting request out of the queue
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
	 * Tells how far a generation is; called every few tokens.
	 * @param producedTokens - tokens of the answer so far
	 */
	progressed(generationId: string, producedTokens: number): void;
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): void;
	/**
	 * Takes over a generation that another entry VM placed.
	 * @returns the engine, or undefined if the target is not known
	 */
	adopt(
		request: GenerationRequest,
		place: GenerationPlacement,
		position: number,
	): Engine | undefined;
};
