import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
	misdirectedStatus,
	type ResponseHead,
} from '../../common/index.js';
import {
	createRateLimitTable,
	type RateLimitTable,
} from '../rate-limits/index.js';
import {createObservations} from './observation.js';
import type {
	MalformedStatement,
	StandingChange,
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
	standingOf(targetId: string): TargetStanding;
	/** True if the target has said that it leaves. */
	isLeaving(targetId: string): boolean;
	/**
	 * Records what a response to a request of this VM says.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 */
	recordResponse(targetId: string, head: ResponseHead, sentMs: number): void;
	/** Records that the load report of an engine says that it leaves. */
	recordLeavingReport(targetId: string): void;
	/** Removes what a target has said that has left or restarted; responses under way say nothing any more. */
	forget(targetId: string): void;
	/** Removes what is no longer needed; called at regular intervals. */
	sweep(): void;
};

export type TargetStatementsOptions = {
	readonly clock: Clock;
	/** Time for which a leaving target may still get requests if the service has no other, in milliseconds. */
	readonly lastResortMs: () => number;
};

/** Time for which responses of an earlier incarnation are recognized, in milliseconds. */
const forgottenRetentionMs = 60_000;

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
	/** Monotonic times at which targets have left or restarted, in milliseconds. */
	const forgottenMs = new Map<string, number>();
	/** Statements that were reported as malformed, by target. */
	const reportedMalformed = new Map<string, Set<string>>();

	const reportMalformed = (
		targetId: string,
		statement: string,
		detail: string,
	) => {
		const reported = reportedMalformed.get(targetId) ?? new Set();
		reportedMalformed.set(targetId, reported);
		if (!reported.has(statement)) {
			reported.add(statement);
			malformed.fire({targetId, detail});
		}
	};

	const fire = (change: Omit<StandingChange, 'forMs'>, forMs?: number) => {
		changed.fire({...change, forMs});
	};

	const setLeaving = (targetId: string, source: StandingChange['source']) => {
		const sinceMs = leaving.get(targetId)?.sinceMs ?? clock.nowMs();
		if (!leaving.set(targetId, {sinceMs})) {
			fire({targetId, kind: 'leaving', change: 'begins', source});
		}
	};

	const recordLeaving = (
		targetId: string,
		head: ResponseHead,
		sentMs: number,
	) => {
		const {leaving: stated} = head;
		if (stated.state === 'malformed') {
			reportMalformed(targetId, 'leaving', stated.detail);
		} else if (stated.state === 'leaving') {
			setLeaving(targetId, 'response');
		} else if (isOfTarget(head) && leaving.end(targetId, sentMs)) {
			fire({targetId, kind: 'leaving', change: 'ends', source: 'response'});
		}
	};

	const recordBackOff = (
		targetId: string,
		head: ResponseHead,
		sentMs: number,
	) => {
		const {backOff: stated} = head;
		if (stated.state === 'malformed') {
			reportMalformed(targetId, 'back-off', stated.detail);
		} else if (stated.state === 'backing-off') {
			const {durationMs} = stated;
			backOffs.set(targetId, {untilMs: clock.nowMs() + durationMs});
			fire(
				{targetId, kind: 'back-off', change: 'begins', source: 'response'},
				durationMs,
			);
		} else if (isOfTarget(head) && backOffs.end(targetId, sentMs)) {
			fire({targetId, kind: 'back-off', change: 'ends', source: 'response'});
		}
	};

	/** True for responses that an earlier incarnation of the target may have made. */
	const isOutdated = (targetId: string, sentMs: number) =>
		sentMs <= (forgottenMs.get(targetId) ?? -Infinity);

	return {
		onChanged: changed.event,
		onMalformed: malformed.event,
		rateLimits,
		standingOf(targetId) {
			const nowMs = clock.nowMs();
			const requestsPerSecond = rateLimits.limitOf(targetId);
			const leavingSinceMs = leaving.get(targetId)?.sinceMs;
			const backOffMs = (backOffs.get(targetId)?.untilMs ?? -Infinity) - nowMs;
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
		isLeaving: (targetId) => leaving.get(targetId) !== undefined,
		recordResponse(targetId, head, sentMs) {
			// Another target has responded, or this one before it restarted.
			if (head.status === misdirectedStatus || isOutdated(targetId, sentMs)) {
				return;
			}

			const {rateLimit} = head;
			if (rateLimit.state === 'malformed') {
				reportMalformed(targetId, 'rate-limit', rateLimit.detail);
			}

			rateLimits.recordResponse(targetId, head, sentMs);
			recordLeaving(targetId, head, sentMs);
			recordBackOff(targetId, head, sentMs);
		},
		recordLeavingReport(targetId) {
			setLeaving(targetId, 'report');
		},
		forget(targetId) {
			forgottenMs.set(targetId, clock.nowMs());
			reportedMalformed.delete(targetId);
			rateLimits.forget(targetId);
			if (leaving.remove(targetId)) {
				fire({targetId, kind: 'leaving', change: 'ends', source: 'departure'});
			}

			if (backOffs.remove(targetId)) {
				fire({targetId, kind: 'back-off', change: 'ends', source: 'departure'});
			}
		},
		sweep() {
			const nowMs = clock.nowMs();
			for (const [targetId, atMs] of forgottenMs) {
				if (nowMs - atMs > forgottenRetentionMs) {
					forgottenMs.delete(targetId);
				}
			}
		},
		dispose() {
			changed.dispose();
			malformed.dispose();
		},
	};
}
