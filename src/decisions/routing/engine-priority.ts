import type {Delivery} from '../../common/index.js';

/** Properties of a generation that determine its priority. */
export type PriorityInput = {
	/** True if the account is behind its floor in this minute, so the generation may preempt others. */
	readonly mayPreempt: boolean;
	/** True if the account's running generations on this VM do not cover this VM's share of its floor. */
	readonly hasFloorPriority: boolean;
	readonly delivery: Delivery;
};

const preemptingPriority = 0;

// Generations with floor priority need a value of their own: when they had none, a preempting generation
// displaced the newest streams of its own account, which had been placed before it could preempt, and the
// account fell below its floor.
const floorPriority = 1;

// Between generations of equal priority, engines preempt the one submitted last, which has produced least.
const deliveryPriorities: Readonly<Record<Delivery, number>> = {
	live: 2,
	restartable: 3,
	// The caller of a whole response does not notice an interruption.
	whole: 4,
};

/**
 * Priority of a generation at its engine. Smaller is more important; engines preempt generations with the
 * largest value first.
 */
export function enginePriority(input: PriorityInput): number {
	if (input.mayPreempt) {
		return preemptingPriority;
	}

	return input.hasFloorPriority
		? floorPriority
		: deliveryPriorities[input.delivery];
}
