import type {Delivery} from '../../common/index.js';

/** What decides on the priority of a generation. */
export type PriorityInput = {
	/** True if the account gets less than its floor. */
	readonly entitled: boolean;
	readonly delivery: Delivery;
};

const entitledPriority = 0;

// Within one number engines preempt the generation that was submitted last, which has produced least.
const priorities: Readonly<Record<Delivery, number>> = {
	live: 1,
	restartable: 2,
	// The caller of a whole answer sees no gap when it is interrupted.
	whole: 3,
};

/**
 * Priority of a generation at its engine. Smaller is more important; engines preempt the largest
 * first.
 */
export function enginePriority(input: PriorityInput): number {
	return input.entitled ? entitledPriority : priorities[input.delivery];
}
