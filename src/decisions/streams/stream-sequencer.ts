import {ProblemError} from '../../common/index.js';

/** Result of checking the position of a token. `gap` means that earlier tokens are missing. */
export type SequenceVerdict = 'deliver' | 'duplicate' | 'gap';

/** Ensures that each token of one generation is delivered exactly once and in order. */
export type StreamSequencer = {
	/** Position of the next token to deliver. */
	readonly nextPosition: number;
	/**
	 * Checks the position of a received token. Only `deliver` advances the sequence.
	 * @param position - position of the token, starting at 0
	 */
	accept(position: number): SequenceVerdict;
	/**
	 * Checks the end of the response.
	 * @param tokenCount - length of the response in tokens
	 * @returns `gap` if tokens are missing
	 * @throws ProblemError `target-protocol` if more tokens were delivered than the response has
	 */
	finish(tokenCount: number): 'complete' | 'gap';
};

/**
 * @param firstPosition - position of the first token to deliver
 */
export function createStreamSequencer(firstPosition = 0): StreamSequencer {
	let nextPosition = firstPosition;
	return {
		get nextPosition() {
			return nextPosition;
		},
		accept(position) {
			if (position === nextPosition) {
				nextPosition++;
				return 'deliver';
			}

			return position < nextPosition ? 'duplicate' : 'gap';
		},
		finish(tokenCount) {
			if (tokenCount < nextPosition) {
				throw new ProblemError(
					'target-protocol',
					`engine ended a response at ${tokenCount} tokens after delivering ${nextPosition}`,
				);
			}

			return tokenCount === nextPosition ? 'complete' : 'gap';
		},
	};
}
