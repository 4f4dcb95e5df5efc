import type {TargetStatement} from '../../platform/testing/index.js';

/**
 * Kinds of requests that callers send. `lookup` is idempotent, `booking` and `moving` are not;
 * `report` is a stream and counts as not idempotent either. The service of `moving` changes with
 * every configuration version.
 */
export type RequestKind = 'booking' | 'lookup' | 'moving' | 'report';

/** A request as its caller observed it. Callers never retry. Times are monotonic. */
export type ObservedRequest = {
	readonly id: string;
	/** Index of the VM that it was sent to. */
	readonly vm: number;
	readonly kind: RequestKind;
	/** Timeout configured for the route. */
	readonly routeTimeoutMs: number;
	/** Part of the prompt under which engines end; undefined for sound requests. */
	readonly crashingPart: string | undefined;
	/** Number of events in a complete response; 0 if the response is not a stream. */
	readonly eventCount: number;
	readonly sentMs: number;
	endedMs: number | undefined;
	status: number | undefined;
	/** Stamp that the target puts on its responses: its id, a dot and the request id. */
	stamp: string | undefined;
	retryAfter: string | undefined;
	body: string;
	/** True if the response ended without being cut off, as HTTP frames it. */
	isWhole: boolean;
	/** Time at which the caller disconnected or gave up. */
	leftMs: number | undefined;
};

/** Arrival of a request at a target. */
export type Arrival = {
	readonly requestId: string;
	readonly targetId: string;
	readonly service: string;
	readonly atMs: number;
	/** True if it continues a run that another engine began. */
	readonly isContinuation: boolean;
};

/** Execution of a request by a target. */
export type Execution = {
	readonly requestId: string;
	readonly targetId: string;
	readonly service: string;
	readonly isContinuation: boolean;
	readonly startMs: number;
	/** Undefined while it runs. */
	endMs: number | undefined;
};

/** A configuration version and the time from which the store held it. */
export type ConfigurationWrite = {
	readonly version: number;
	readonly atMs: number;
};

/** A target that announced that it is leaving, and the time from which the store held this. */
export type LeaveAnnouncement = {
	readonly targetId: string;
	readonly atMs: number;
};

/** Rate limit that a target names in its responses for some time. */
export type NamedRateLimit = {
	readonly targetId: string;
	/** Requests per second that it accepts from all VMs together. */
	readonly requestsPerSecond: number;
	readonly fromMs: number;
	/** Infinity while it is named. */
	untilMs: number;
};

/** What a target has said of itself in its response to a request. */
export type ObservedStatement = {
	readonly targetId: string;
	readonly requestId: string;
	readonly statement: TargetStatement;
	readonly atMs: number;
};

/** An engine that ended under a prompt part. */
export type PartCrash = {readonly part: string; readonly atMs: number};

/** A fault or a planned restart, with the time that it lasted. */
export type Disruption = {
	/** Index of the VM affected; undefined if all may be. */
	readonly vm: number | undefined;
	readonly kind: string;
	readonly fromMs: number;
	/** Infinity while it lasts. */
	untilMs: number;
};

/** One process of a VM's daemon, from spawn to exit. */
export type Incarnation = {
	readonly vm: number;
	readonly startMs: number;
	/** Infinity while it runs. */
	endMs: number;
	/** Signal or exit code if it exited unexpectedly. */
	ownEnd: string | undefined;
	/** CPU time used at the last signal that was not meant to end it, in milliseconds; 0 if none. */
	signalledCpuMs: number;
};

/** Delay of a timer in the observer process, which also runs all targets. */
export type Lateness = {readonly atMs: number; readonly lateMs: number};

/**
 * Bounds that the checks apply. The daemons run with the same values, except for `settleMs`, `recoveryMs`,
 * `rateLimitSettleMs` and `contactMs`, which only the checks use.
 */
export type SoakBounds = {
	/** Time after which a leaving target gets no new requests. */
	readonly drainMs: number;
	/** Time that a daemon has after SIGTERM. */
	readonly stopGraceMs: number;
	/** Time in which a configuration version takes effect. */
	readonly configurationApplyMs: number;
	/** Time after a disruption during which its effects are still excused. */
	readonly settleMs: number;
	/** Retries per request in a window. */
	readonly retryRatio: number;
	/** Retries in a window beyond the ratio. */
	readonly retryExtra: number;
	readonly retryWindowMs: number;
	/** Time in which all VMs know of a rate limit that a target names. */
	readonly rateLimitSettleMs: number;
	/** Time after the fifth end of an engine under a prompt part in which all VMs know of the part. */
	readonly contactMs: number;
	/** Time after the last fault in which service recovers. */
	readonly recoveryMs: number;
};

/**
 * Everything observed in a run from outside the daemons: by callers, targets, the store and the
 * fault injector. A failed run writes it to `observations.json`.
 */
export type Observations = {
	readonly bounds: SoakBounds;
	readonly attempts: ObservedRequest[];
	readonly arrivals: Arrival[];
	readonly works: Execution[];
	readonly configurations: ConfigurationWrite[];
	readonly leaves: LeaveAnnouncement[];
	readonly rateLimits: NamedRateLimit[];
	readonly statements: ObservedStatement[];
	readonly partCrashes: PartCrash[];
	/** Part of the prompts of some reports under which engines end; undefined while there is none. */
	crashingPart: string | undefined;
	readonly disruptions: Disruption[];
	readonly incarnations: Incarnation[];
	readonly lateness: Lateness[];
	/** Start of the final phase without faults; undefined before it. */
	calmFromMs: number | undefined;
};

/** Creates an empty record of observations. */
export function createObservations(bounds: SoakBounds): Observations {
	return {
		bounds,
		attempts: [],
		arrivals: [],
		works: [],
		configurations: [],
		leaves: [],
		rateLimits: [],
		statements: [],
		partCrashes: [],
		crashingPart: undefined,
		disruptions: [],
		incarnations: [],
		lateness: [],
		calmFromMs: undefined,
	};
}

/**
 * Prefix of the services that exactly one configuration version each routes to. The version follows
 * the prefix, so an arrival shows by which version its request was handled.
 */
export const movingServicePrefix = 'moving-';

/**
 * True if no disruption of the VM, settling time included, overlaps a span.
 * @param except - disruptions that do not count
 */
export function isUndisrupted(
	{disruptions, bounds}: Observations,
	vm: number,
	[fromMs, untilMs]: readonly [number, number],
	except: (disruption: Disruption) => boolean = () => false,
): boolean {
	return !disruptions.some(
		(one) =>
			(one.vm === undefined || one.vm === vm) &&
			one.fromMs < untilMs &&
			one.untilMs + bounds.settleMs > fromMs &&
			!except(one),
	);
}

/** Total time within a span for which timers of the observer process were late, in milliseconds. */
export function lateMsWithin(
	{lateness}: Observations,
	[fromMs, untilMs]: readonly [number, number],
): number {
	let sum = 0;
	for (const {atMs, lateMs} of lateness) {
		const startMs = Math.max(fromMs, atMs - lateMs);
		sum += Math.max(0, Math.min(untilMs, atMs) - startMs);
	}

	return sum;
}

/** Indexes the requests of callers by their ids. */
export function requestsById(
	observations: Observations,
): ReadonlyMap<string, ObservedRequest> {
	return new Map(observations.attempts.map((request) => [request.id, request]));
}
