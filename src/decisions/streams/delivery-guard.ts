import type {InvariantMonitor} from '../../common/index.js';
import type {GenerationPlacement} from './types.js';

/**
 * Checks the promises `token-order` and `whole-answer` at the last step before the caller,
 * independently of what the relay believes.
 */
export type DeliveryGuard = {
	/** Number of tokens that the caller has. */
	readonly deliveredCount: number;
	/** The caller learns that tokens of a generation follow from a position on. */
	begin(place: GenerationPlacement, position: number): void;
	/**
	 * @param place - where the token comes from
	 * @throws ProblemError `promise-violated`
	 */
	token(place: GenerationPlacement, position: number): void;
	/** @throws ProblemError `promise-violated` */
	finished(place: GenerationPlacement, tokenCount: number): void;
	/** Hands the counts of checks to the monitor. */
	close(): void;
};

/** Creates a guard for one caller. */
export function createDeliveryGuard(
	invariants: InvariantMonitor,
): DeliveryGuard {
	let announced: GenerationPlacement | undefined;
	let delivered = 0;
	let heldChecks = 0;
	return {
		get deliveredCount() {
			return delivered;
		},
		begin(place, position) {
			announced = place;
			delivered = position;
		},
		token(place, position) {
			if (place !== announced || position !== delivered) {
				invariants.enforce(
					'token-order',
					false,
					() =>
						`token ${position} of ${place.generationId} after ${delivered} tokens of ${announced?.generationId}`,
				);
			}

			heldChecks++;
			delivered++;
		},
		finished(place, tokenCount) {
			invariants.enforce(
				'whole-answer',
				place === announced && delivered === tokenCount,
				() =>
					`answer of ${tokenCount} tokens of ${place.generationId} ended after ${delivered} tokens of ${announced?.generationId}`,
			);
		},
		close() {
			invariants.countPassed('token-order', heldChecks);
			heldChecks = 0;
		},
	};
}
