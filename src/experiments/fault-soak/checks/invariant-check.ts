import type {Observations} from '../observations.js';

/** Names of the invariants that the soak checks, as reported and kept in `observations.json`. */
export type InvariantName =
	| 'at-most-once'
	| 'back-off'
	| 'calm-service'
	| 'configuration-applied'
	| 'configuration-forward'
	| 'crashing-part'
	| 'event-order'
	| 'leaving-target'
	| 'prompt-answer'
	| 'rate-limit'
	| 'recovery'
	| 'retry-budget'
	| 'stated-leaving'
	| 'stays-up'
	| 'true-refusal'
	| 'whole-answer'
	| 'work-ends';

/** A violation of an invariant, with the evidence. */
export type Violation = {
	readonly promise: InvariantName;
	/** Message with the request, VM or target concerned. */
	readonly detail: string;
};

/** Finds violations of an invariant in the observations so far, also during a run. */
export type InvariantCheck = (
	observations: Observations,
) => readonly Violation[];
