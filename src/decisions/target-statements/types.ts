/** What a target has said of itself that restricts its use. */
export type StatementKind = 'back-off' | 'leaving';

/**
 * Whether requests may be sent to a target, by what it has said of itself. `last-resort`: only if no other
 * target of the service may be used.
 */
export type TargetUse = 'last-resort' | 'none' | 'normal';

/** What restricts the use of a target: a statement of its own, or the evacuation of its availability zone. */
export type RestrictionCause = StatementKind | 'evacuated';

/** How a target may be used now. */
export type TargetStanding = {
	readonly use: TargetUse;
	/** What restricts the use; undefined if nothing does. */
	readonly cause: RestrictionCause | undefined;
	/** Time until the target may be used again, in milliseconds; Infinity if it is not known. */
	readonly waitMs: number;
	/** Requests per second that the target accepts from all VMs together; undefined without a limit. */
	readonly requestsPerSecond: number | undefined;
};

/** The use of a target has become restricted, or no longer is. */
export type StandingChange = {
	readonly targetId: string;
	readonly kind: StatementKind;
	readonly change: 'begins' | 'ends';
	/** What shows the change: a response to a request, or a load report. */
	readonly source: 'report' | 'response';
	/** Duration of a back-off that begins, in milliseconds. */
	readonly forMs?: number;
};

/** A statement of a target that cannot be read. */
export type MalformedStatement = {
	readonly targetId: string;
	/** Describes the value and what is allowed. */
	readonly detail: string;
};

/** Why no target of a service takes a request. */
export type ClosedRefusal = {
	readonly reason: string;
	/** Time after which a target takes requests again, in milliseconds; undefined if it is not known. */
	readonly retryAfterMs: number | undefined;
};
