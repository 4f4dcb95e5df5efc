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

// Without a value of its own for floor priority, a preempting generation displaces the newest streams of
// its own account, which were placed before it could preempt, and the account falls below its floor.
const floorPriority = 1;

const deliveryPriorities: Readonly<Record<Delivery, number>> = {
	live: 2,
	restartable: 3,
	// The caller of a whole response does not notice an interruption.
	whole: 4,
};

/**
 * Priority of a generation at its engine. Smaller is more important; engines preempt generations with the
 * largest value first, and among equal values the one submitted last, which has produced least.
 */
export function enginePriority(input: PriorityInput): number {
	if (input.mayPreempt) {
		return preemptingPriority;
	}

	return input.hasFloorPriority
		? floorPriority
		: deliveryPriorities[input.delivery];
}
