import type {
	Delivery,
	Disposable,
	Engine,
	FinishReason,
	ProblemError,
} from '../../common/index.js';

/** A generation as a caller asked for it. */
export type GenerationRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly delivery: Delivery;
};

/** Where a generation runs. */
export type GenerationPlace = {
	readonly targetId: string;
	readonly generationId: string;
	/** Counts the generations that were started for one request, from 0. */
	readonly attempt: number;
};

/** Receives what the caller is to see. */
export type CallerSink = {
	/** The request was placed; the caller may resume it from now on. */
	accepted(place: GenerationPlace): void;
	/**
	 * @param position - number of tokens that the caller has after this one
	 * @returns false if the caller is slow and `onDrain` will follow
	 */
	token(position: number, text: string): boolean;
	/** All tokens so far are void; a new generation begins at position 0. */
	restarted(place: GenerationPlace): void;
	finished(reason: FinishReason, tokenCount: number): void;
	failed(error: ProblemError): void;
};

/** An engine that was chosen for a generation. */
export type PlacedGeneration = {
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
			onPlaced(placed: PlacedGeneration): void;
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
		place: GenerationPlace,
		position: number,
	): Engine | undefined;
};
