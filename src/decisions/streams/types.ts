import type {Delivery, FinishReason, ProblemError} from '../../common/index.js';

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
