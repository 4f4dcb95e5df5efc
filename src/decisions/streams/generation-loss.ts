import {type Delivery, ProblemError} from '../../common/index.js';
import type {GenerationReader} from './generation-reader.js';

/** State of a request whose generation was lost, for deciding whether to start another. */
export type GenerationLoss = {
	/** Number of generations started for the request before the lost one. */
	readonly attempt: number;
	readonly maxAttempts: number;
	/** Number of tokens that were written to the caller. */
	readonly deliveredCount: number;
	readonly delivery: Delivery;
	/** True if the caller supports a restart of its stream. */
	readonly isResumable: boolean;
};

/**
 * Decides whether a lost generation may be replaced. Once the caller has tokens, only a caller that
 * supports restarts may get another generation, and never with the delivery `live`.
 */
export function mayRestartAfter(loss: GenerationLoss): boolean {
	return (
		loss.attempt + 1 < loss.maxAttempts &&
		(loss.deliveredCount === 0 ||
			(loss.delivery !== 'live' && loss.isResumable))
	);
}

/**
 * Creates the error sent to a caller whose lost generation is not replaced.
 * @param cause - reason of the loss, if known
 */
export function generationLostProblem(
	retryAfterMs: number,
	cause?: ProblemError,
): ProblemError {
	const type =
		cause?.type === 'target-protocol' ? cause.type : 'generation-lost';
	return new ProblemError(
		type,
		'the engine lost the generation; send the request again',
		{
			cause,
			retryAfterMs,
		},
	);
}

/** Cancels a generation and ignores errors. */
export async function cancelQuietly(reader: GenerationReader): Promise<void> {
	try {
		await reader.cancel();
	} catch {
		// An unreachable engine has lost the generation, or ends it at its own limit.
	}
}
