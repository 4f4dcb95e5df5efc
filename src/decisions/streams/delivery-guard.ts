import type {InvariantMonitor} from '../../common/index.js';
import type {GenerationPlacement} from './types.js';

/**
 * Checks the invariants `token-order` and `whole-answer` on what is written to the caller, independently
 * of the state of the relay.
 */
export type DeliveryGuard = {
	/** Number of tokens of the current generation that were written to the caller. */
	readonly deliveredCount: number;
	/**
	 * The tokens that follow belong to this generation.
	 * @param receivedCount - number of tokens of it that the caller already has
	 */
	begin(placement: GenerationPlacement, receivedCount: number): void;
	/**
	 * Checks a token before it is written.
	 * @param placement - generation that produced the token
	 * @param position - position of the token, from 0
	 * @throws ProblemError `promise-violated`
	 */
	token(placement: GenerationPlacement, position: number): void;
	/**
	 * Checks the end of the response before it is written.
	 * @throws ProblemError `promise-violated`
	 */
	finished(placement: GenerationPlacement, tokenCount: number): void;
	/** Passes the counts of checks to the invariant monitor. */
	close(): void;
};

export function createDeliveryGuard(
	invariants: InvariantMonitor,
): DeliveryGuard {
	let current: GenerationPlacement | undefined;
	let deliveredCount = 0;
	let passedChecks = 0;
	return {
		get deliveredCount() {
			return deliveredCount;
		},
		begin(placement, receivedCount) {
			current = placement;
			deliveredCount = receivedCount;
		},
		token(placement, position) {
			if (placement !== current || position !== deliveredCount) {
				invariants.enforce(
					'token-order',
					false,
					() =>
						`token ${position} of ${placement.generationId} after ${deliveredCount} tokens of ${current?.generationId}`,
				);
			}

			passedChecks++;
			deliveredCount++;
		},
		finished(placement, tokenCount) {
			invariants.enforce(
				'whole-answer',
				placement === current && deliveredCount === tokenCount,
				() =>
					`response of ${tokenCount} tokens of ${placement.generationId} ended after ${deliveredCount} tokens of ${current?.generationId}`,
			);
		},
		close() {
			invariants.countPassed('token-order', passedChecks);
			passedChecks = 0;
		},
	};
}
