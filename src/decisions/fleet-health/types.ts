/**
 * What a VM has seen of a target since it started. Sums, so that the next report makes up for one that was
 * lost, and one that arrives twice changes nothing.
 */
export type TargetTotals = {
	readonly targetId: string;
	/** Calls that the target has answered, also after having been overdue. */
	readonly answers: number;
	/** Calls that failed or are overdue; falls when the answer to an overdue call comes after all. */
	readonly failures: number;
	/** Ended or overdue calls that were idempotent. */
	readonly idempotentCalls: number;
	/** Part of `answers` that belongs to calls sent while the fleet avoided the target. */
	readonly trialAnswers: number;
	/** Part of `failures` that belongs to calls sent while the fleet avoided the target. */
	readonly trialFailures: number;
};

/** Report of one VM on the targets of plain services. */
export type TargetReport = {
	/** Differs after a restart of the VM, whose totals begin at zero again. */
	readonly incarnation: number;
	/** Increases with each report of an incarnation, from 1. */
	readonly sequence: number;
	/** Totals of the targets that have changed recently. */
	readonly totals: readonly TargetTotals[];
};

/** All targets that a coordinator says to avoid. */
export type AvoidedTargetList = {
	/** Differs after a restart of the coordinator. */
	readonly incarnation: number;
	/** Increases with each list of an incarnation; receivers drop older lists. */
	readonly sequence: number;
	readonly targets: readonly AvoidedTarget[];
};

/** A target that gets only part of its usual calls. */
export type AvoidedTarget = {
	readonly targetId: string;
	/** Fraction of its usual idempotent calls that it gets, from 0 to 1. */
	readonly idempotentShare: number;
	/** Fraction of its usual other calls that it gets, from 0 to 1. */
	readonly otherShare: number;
};
