import {ProblemError} from '../../common/index.js';

/** What to do with one token that a link delivered. */
export type SequenceVerdict = 'deliver' | 'duplicate' | 'gap';

/** Checks that the tokens of one generation are passed on once and in order. */
export type StreamSequencer = {
	/** Position of the next token to deliver. */
	readonly nextPosition: number;
	/**
	 * Judges a token by its position. Only `deliver` advances the sequence.
	 * @param position - position of the token, starting at 0
	 */
	accept(position: number): SequenceVerdict;
	/**
	 * Checks the end of the answer.
	 * @param tokenCount - length of the answer in tokens
	 * @returns `gap` if tokens are missing
	 * @throws ProblemError `target-protocol` if more tokens were delivered than the answer has
	 */
	finish(tokenCount: number): 'complete' | 'gap';
};

/**
 * Creates a sequencer.
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
					`engine ended an answer at ${tokenCount} tokens after delivering ${nextPosition}`,
				);
			}

			return tokenCount === nextPosition ? 'complete' : 'gap';
		},
	};
}
