import type {Delivery} from '../../common/index.js';

/** What decides on the priority of a generation. */
export type PriorityInput = {
	/** True if the account is behind its floor in this minute, so that the generation displaces others. */
	readonly mayPreempt: boolean;
	/** True if this VM's part of the account's floor is not covered by what it has running. */
	readonly hasFloorPriority: boolean;
	readonly delivery: Delivery;
};

const urgentPriority = 0;

// Without a number of their own, urgent requests of an account displaced its own newest streams, which had
// been placed while it was not urgent, and the account fell below its floor.
const entitledPriority = 1;

// Within one number engines preempt the generation that was submitted last, which has produced least.
const priorities: Readonly<Record<Delivery, number>> = {
	live: 2,
	restartable: 3,
	// The caller of a whole answer sees no gap when it is interrupted.
	whole: 4,
};

/**
 * Priority of a generation at its engine. Smaller is more important; engines preempt the largest
 * first.
 */
export function enginePriority(input: PriorityInput): number {
	if (input.mayPreempt) {
		return urgentPriority;
	}

	return input.hasFloorPriority ? entitledPriority : priorities[input.delivery];
}
