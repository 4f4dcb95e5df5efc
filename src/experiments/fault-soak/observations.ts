/** Kinds of requests that callers send. */
export type RequestKind = 'booking' | 'lookup' | 'moving' | 'report';

/** One request as its caller saw it. Times are monotonic, in milliseconds. */
export type ObservedRequest = {
	readonly id: string;
	readonly vm: number;
	readonly kind: RequestKind;
	/** Timeout that the route states. */
	readonly routeTimeoutMs: number;
	/** Events that a whole answer has; 0 if it is no stream. */
	readonly eventCount: number;
	readonly sentMs: number;
	endedMs: number | undefined;
	status: number | undefined;
	/** Mark of the target, which names it. */
	stamp: string | undefined;
	retryAfter: string | undefined;
	body: string;
	/** True if the answer ended as a whole one does. */
	isWhole: boolean;
	/** Time at which the caller left by itself. */
	leftMs: number | undefined;
};

/** A request as it reached a target. */
export type Arrival = {
	readonly requestId: string;
	readonly targetId: string;
	readonly service: string;
	readonly atMs: number;
	readonly isContinuation: boolean;
};

/** Work of a target on a request. */
export type Execution = {
	readonly requestId: string;
	readonly targetId: string;
	readonly service: string;
	readonly isContinuation: boolean;
	readonly startMs: number;
	endMs: number | undefined;
};

/** A version of the configuration and the time at which the store had it. */
export type ConfigurationWrite = {
	readonly version: number;
	readonly atMs: number;
};

/** A target that said it leaves, and the time at which the store had it. */
export type LeaveAnnouncement = {
	readonly targetId: string;
	readonly atMs: number;
};

/** A fault, on one VM or on all. */
export type Disruption = {
	readonly vm: number | undefined;
	readonly kind: string;
	readonly fromMs: number;
	untilMs: number;
};

/** Life of a VM's process. */
export type Incarnation = {
	readonly vm: number;
	readonly startMs: number;
	endMs: number;
	/** Signal or exit code, if it ended by itself. */
	ownEnd: string | undefined;
	/** Processor time that it had used at its last signal, in milliseconds. */
	signalledCpuMs: number;
};

/** Time by which a timer of the observer, whose process plays all targets, came late. */
export type Lateness = {readonly atMs: number; readonly lateMs: number};

/** Bounds that the checks hold the system to. */
export type SoakBounds = {
	readonly drainMs: number;
	readonly stopGraceMs: number;
	readonly configurationApplyMs: number;
	readonly settleMs: number;
	readonly retryRatio: number;
	readonly retryExtra: number;
	readonly retryWindowMs: number;
	readonly recoveryMs: number;
};

/** All that was seen from outside in a run. */
export type Observations = {
	readonly bounds: SoakBounds;
	readonly attempts: ObservedRequest[];
	readonly arrivals: Arrival[];
	readonly works: Execution[];
	readonly configurations: ConfigurationWrite[];
	readonly leaves: LeaveAnnouncement[];
	readonly disruptions: Disruption[];
	readonly incarnations: Incarnation[];
	readonly lateness: Lateness[];
	/** Start of the last phase, which has no faults; undefined before it. */
	calmFromMs: number | undefined;
};

/** Creates a record without observations. */
export function createObservations(bounds: SoakBounds): Observations {
	return {
		bounds,
		attempts: [],
		arrivals: [],
		works: [],
		configurations: [],
		leaves: [],
		disruptions: [],
		incarnations: [],
		lateness: [],
		calmFromMs: undefined,
	};
}

/** Prefix of the services that one version of the configuration alone names. */
export const movingServicePrefix = 'moving-';

/** True if no fault touched the VM from the settling time before the span to its end. */
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

/** Time by which the observer was late within a span, in milliseconds. */
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

/** Attempts by their ids. */
export function requestsById(
	observations: Observations,
): ReadonlyMap<string, ObservedRequest> {
	return new Map(observations.attempts.map((attempt) => [attempt.id, attempt]));
}
