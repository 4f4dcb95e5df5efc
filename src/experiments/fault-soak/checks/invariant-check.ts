import type {Observations} from '../observations.js';

/** Names of the promises that the soak checks. */
export type InvariantName =
	| 'at-most-once'
	| 'calm-service'
	| 'configuration-applied'
	| 'configuration-forward'
	| 'event-order'
	| 'leaving-target'
	| 'prompt-answer'
	| 'recovery'
	| 'retry-budget'
	| 'stays-up'
	| 'true-refusal'
	| 'whole-answer'
	| 'work-ends';

/** A promise that was broken, with what shows it. */
export type Violation = {
	readonly promise: InvariantName;
	readonly detail: string;
};

/** Finds what breaks one promise in the observations so far. */
export type InvariantCheck = (
	observations: Observations,
) => readonly Violation[];
