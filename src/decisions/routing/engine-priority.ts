import type {Delivery} from '../../common/index.js';

/** What decides on the priority of a generation. */
export type PriorityInput = {
	/** True if the account is behind its floor in this minute, so that the generation displaces others. */
	readonly urgent: boolean;
	readonly delivery: Delivery;
};

const urgentPriority = 0;

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
	return input.urgent ? urgentPriority : priorities[input.delivery];
}
