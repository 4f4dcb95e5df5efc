import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
	incarnationOf,
	misdirectedStatus,
	type ResponseHead,
	type TargetIdentity,
} from '../../common/index.js';
import {
	createRateLimitTable,
	type RateLimitTable,
} from '../rate-limits/index.js';
import {createObservations} from './observation.js';
import type {
	MalformedStatement,
	StandingChange,
	StatementKind,
	TargetStanding,
} from './types.js';

/**
 * What targets say of themselves, as far as this VM knows it: that they leave, that they want no requests
 * for a time, and how many requests they accept. `standingOf` is the one question that the choice of a
 * target asks.
 */
export type TargetStatements = Disposable & {
	/** Fires when the use of a target has become restricted, or no longer is; not when a back-off has run out. */
	readonly onChanged: Event<StandingChange>;
	/** Fires once for each target and statement that cannot be read. */
	readonly onMalformed: Event<MalformedStatement>;
	/** Rate limits of targets, which the VMs tell each other. */
	readonly rateLimits: RateLimitTable;
	standingOf(target: TargetIdentity): TargetStanding;
	/** True if the target has said that it leaves. */
	isLeaving(target: TargetIdentity): boolean;
	/**
	 * Records what a response to a request of this VM says.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 */
	recordResponse(
		target: TargetIdentity,
		head: ResponseHead,
		sentMs: number,
	): void;
	/** Records that the load report of an engine says that it leaves. */
	recordLeavingReport(target: TargetIdentity): void;
	/** Called when an incarnation has arrived, for the first time or again. */
	recordArrival(target: TargetIdentity): void;
	/**
	 * Called when an incarnation has left. What it has said of leaving and of back-offs is kept for some time,
	 * since its entry may come back.
	 */
	recordDeparture(target: TargetIdentity): void;
	/** Removes what departed incarnations have said; called at regular intervals. */
	sweep(): void;
};

export type TargetStatementsOptions = {
	readonly clock: Clock;
	/** Time for which a leaving target may still get requests if the service has no other, in milliseconds. */
	readonly lastResortMs: () => number;
};

/** Time for which the statements of a target that has left are kept, in milliseconds. */
const departedRetentionMs = 60_000;

/** True if the target itself, and not a proxy before it, has made the response. */
const isOfTarget = ({isFromTarget, notExecuted}: ResponseHead) =>
	isFromTarget || notExecuted;

/** Creates statements in which no target has said anything. */
export function createTargetStatements({
	clock,
	lastResortMs,
}: TargetStatementsOptions): TargetStatements {
	const changed = createEmitter<StandingChange>();
	const malformed = createEmitter<MalformedStatement>();
	const rateLimits = createRateLimitTable(clock);
	/** Monotonic times at which targets have said for the first time that they leave, in milliseconds. */
	const leaving = createObservations<{readonly sinceMs: number}>(clock);
	/** Monotonic times until which targets want no requests, in milliseconds. */
	const backOffs = createObservations<{readonly untilMs: number}>(clock);
	/** Statements that were reported as malformed, by incarnation. */
	const reportedMalformed = new Map<string, Set<string>>();
	/** Monotonic times at which incarnations have left, in milliseconds. */
	const departedMs = new Map<string, number>();

	const reportMalformed = (
		target: TargetIdentity,
		statement: string,
		detail: string,
	) => {
		const incarnation = incarnationOf(target);
		const reported = reportedMalformed.get(incarnation) ?? new Set();
		reportedMalformed.set(incarnation, reported);
		if (!reported.has(statement)) {
			reported.add(statement);
			malformed.fire({targetId: target.id, detail});
		}
	};

	const setLeaving = (
		target: TargetIdentity,
		source: StandingChange['source'],
	) => {
		const incarnation = incarnationOf(target);
		const sinceMs = leaving.get(incarnation)?.sinceMs ?? clock.nowMs();
		if (!leaving.set(incarnation, {sinceMs})) {
			const change = {kind: 'leaving', change: 'begins', source} as const;
			changed.fire({...change, targetId: target.id});
		}
	};

	const fireEnd = ({id}: TargetIdentity, kind: StatementKind) => {
		const source = 'response';
		changed.fire({targetId: id, kind, change: 'ends', source});
	};

	const recordLeaving = (
		target: TargetIdentity,
		head: ResponseHead,
		sentMs: number,
	) => {
		const {leaving: stated} = head;
		if (stated.state === 'malformed') {
			reportMalformed(target, 'leaving', stated.detail);
		} else if (stated.state === 'leaving') {
			setLeaving(target, 'response');
		} else if (isOfTarget(head) && leaving.end(incarnationOf(target), sentMs)) {
			fireEnd(target, 'leaving');
		}
	};

	const recordBackOff = (
		target: TargetIdentity,
		head: ResponseHead,
		sentMs: number,
	) => {
		const {backOff: stated} = head;
		if (stated.state === 'malformed') {
			reportMalformed(target, 'back-off', stated.detail);
		} else if (stated.state === 'backing-off') {
			const {durationMs: forMs} = stated;
			const untilMs = clock.nowMs() + forMs;
			backOffs.set(incarnationOf(target), {untilMs});
			const kind = 'back-off';
			const source = 'response';
			const change = 'begins';
			changed.fire({targetId: target.id, kind, change, source, forMs});
		} else if (
			isOfTarget(head) &&
			backOffs.end(incarnationOf(target), sentMs)
		) {
			fireEnd(target, 'back-off');
		}
	};

	return {
		onChanged: changed.event,
		onMalformed: malformed.event,
		rateLimits,
		standingOf(target) {
			const nowMs = clock.nowMs();
			const incarnation = incarnationOf(target);
			const requestsPerSecond = rateLimits.limitOf(target.id);
			const leavingSinceMs = leaving.get(incarnation)?.sinceMs;
			const untilMs = backOffs.get(incarnation)?.untilMs ?? -Infinity;
			const backOffMs = untilMs - nowMs;
			if (leavingSinceMs !== undefined) {
				const isFresh = nowMs - leavingSinceMs < lastResortMs();
				const isLastResort = isFresh && backOffMs <= 0;
				return {
					use: isLastResort ? 'last-resort' : 'none',
					cause: 'leaving',
					waitMs: isLastResort ? 0 : Infinity,
					requestsPerSecond,
				};
			}

			return backOffMs > 0
				? {
						use: 'none',
						cause: 'back-off',
						waitMs: backOffMs,
						requestsPerSecond,
					}
				: {use: 'normal', cause: undefined, waitMs: 0, requestsPerSecond};
		},
		isLeaving: (target) => leaving.get(incarnationOf(target)) !== undefined,
		recordResponse(target, head, sentMs) {
			if (head.status === misdirectedStatus) {
				return;
			}

			const {rateLimit} = head;
			if (rateLimit.state === 'malformed') {
				reportMalformed(target, 'rate-limit', rateLimit.detail);
			}

			if (head.cold.state === 'malformed') {
				reportMalformed(target, 'cold', head.cold.detail);
			}

			rateLimits.recordResponse(target.id, head, sentMs);
			recordLeaving(target, head, sentMs);
			recordBackOff(target, head, sentMs);
		},
		recordLeavingReport(target) {
			setLeaving(target, 'report');
		},
		recordArrival(target) {
			departedMs.delete(incarnationOf(target));
		},
		recordDeparture(target) {
			departedMs.set(incarnationOf(target), clock.nowMs());
			rateLimits.forget(target.id);
		},
		sweep() {
			const nowMs = clock.nowMs();
			for (const [incarnation, atMs] of departedMs) {
				if (nowMs - atMs > departedRetentionMs) {
					departedMs.delete(incarnation);
					leaving.remove(incarnation);
					backOffs.remove(incarnation);
					reportedMalformed.delete(incarnation);
				}
			}
		},
		dispose() {
			changed.dispose();
			malformed.dispose();
		},
	};
}
