import {type Delivery, ProblemError} from '../../common/index.js';
import type {GenerationReader} from './generation-reader.js';

/** What decides whether a lost generation may be replaced by another. */
export type GenerationLoss = {
	/** Counts the generations of the request from 0. */
	readonly attempt: number;
	readonly maxAttempts: number;
	/** Number of tokens that the caller has. */
	readonly deliveredCount: number;
	readonly delivery: Delivery;
	/** True if the caller understands a restart of its stream. */
	readonly isResumable: boolean;
};

/** Tells whether another generation may take the place of a lost one. */
export function mayRestartAfter(loss: GenerationLoss): boolean {
	return (
		loss.attempt + 1 < loss.maxAttempts &&
		(loss.deliveredCount === 0 ||
			(loss.delivery !== 'live' && loss.isResumable))
	);
}

/**
 * Creates the error that a caller gets for a generation that is not replaced.
 * @param cause - why the generation was lost, if it is known
 */
export function generationLostProblem(
	retryAfterMs: number,
	cause?: ProblemError,
): ProblemError {
	const type =
		cause?.type === 'target-protocol' ? cause.type : 'generation-lost';
	return new ProblemError(type, 'the engine lost the generation; ask again', {
		cause,
		retryAfterMs,
	});
}

/** Cancels a generation; an engine that cannot be reached drops it at its own limit. */
export async function cancelQuietly(reader: GenerationReader): Promise<void> {
	try {
		await reader.cancel();
	} catch {
		// The engine is gone or drops the generation at its own limit.
	}
}
