import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
	type TargetEntry,
	type Timers,
} from '../../common/index.js';
import type {AvoidedTargets} from '../fleet-health/index.js';
import type {OutlierDetector} from '../retries/index.js';
import type {
	LimitedTarget,
	PermitDecision,
	PermitRequest,
} from '../rate-limits/index.js';
import type {TargetEligibility} from '../target-eligibility/index.js';
import type {TargetUse} from '../target-statements/index.js';
import {type CandidateQuery, serviceCandidates} from './service-candidates.js';
import {
	chooseServiceTarget,
	type ServiceCandidate,
} from './service-placement.js';
import type {ServiceStandings} from './service-standings.js';
import type {TargetDirectory} from './target-directory.js';
import {createTurnDenials} from './turn-denials.js';

/** Permit under which a request is sent to a target with a rate limit. */
export type TargetPermit = {
	/** Limit of the target as this VM knows it, in requests per second; undefined if it was lifted meanwhile. */
	readonly requestsPerSecond: number | undefined;
	/** Time that the request has waited for its turn, in milliseconds. */
	readonly waitMs: number;
	/** Address of the VM that granted the permit. */
	readonly decidedBy: string;
};

/** Receives the outcome of a search for the target of a call. */
export type CallTargetListener = {
	/** @param permit - undefined if the target has no rate limit */
	onFound(target: TargetEntry, permit: TargetPermit | undefined): void;
	/** @param retryAfterMs - time after which the caller may try again, in milliseconds, if it is known */
	onNone(reason: string, retryAfterMs?: number): void;
	/**
	 * Called when targets are passed over because of their rate limits.
	 * @param waitMs - time until the next turn at any of them, in milliseconds
	 * @param decidedBy - address of the VM that decided; undefined if an earlier denial still holds
	 */
	onPermitDenied(
		targets: readonly LimitedTarget[],
		waitMs: number,
		decidedBy: string | undefined,
	): void;
};

/** What a call needs of its target. */
export type CallTargetQuery = CandidateQuery & {
	/** Longest time that the call may wait for its turn at a target, in milliseconds. */
	readonly maxWaitMs: number;
};

/** Chooses targets for calls to plain services from the state of this VM, and counts its open calls. */
export type CallTargetSearch = {
	/**
	 * Finds a target; one with a rate limit only with a permit. The listener may be called before this returns.
	 * @returns disposing it ends the search
	 */
	find(query: CallTargetQuery, listener: CallTargetListener): Disposable;
	/** Counts an open call to a target until disposed. */
	track(target: TargetEntry): Disposable;
};

export type CallTargetSearchOptions = {
	readonly availabilityZone: string;
	/** Draws the preferred zone of a call to any region; undefined if the shares are not known. */
	readonly drawZone: (
		service: string,
		candidates: readonly ServiceCandidate[],
	) => string | undefined;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly avoidedTargets: Pick<AvoidedTargets, 'draw' | 'isAvoided'>;
	readonly eligibility: Pick<TargetEligibility, 'standingOf'>;
	readonly standings: ServiceStandings;
	readonly requestPermit: (
		request: PermitRequest,
		onDecision: (decision: PermitDecision, decidedBy: string) => void,
	) => Disposable;
};

/** Shortest time after which a caller that is refused may try again, in milliseconds. */
const minRetryAfterMs = 50;
const limitReason = 'the targets limit their request rate';

/** Targets among which a search chooses, in the order of preference. */
type Choice = {
	/** Targets with a rate limit that rank before `unlimited`. */
	readonly limited: readonly LimitedTarget[];
	/** Best target without a rate limit. */
	readonly unlimited: TargetEntry | undefined;
};

export function createCallTargetSearch(
	options: CallTargetSearchOptions,
): CallTargetSearch {
	const {clock, timers, random, directory, detector} = options;
	const {eligibility, standings} = options;
	const openCalls = new Map<string, number>();
	const denials = createTurnDenials(clock);

	const entryOf = (targetId: string) => directory.get(targetId)?.entry;

	const chooseAmong = (query: CallTargetQuery, use: TargetUse): Choice => {
		const candidates = serviceCandidates(query, use, {
			...options,
			openCount: (targetId) => openCalls.get(targetId) ?? 0,
		});
		const drawnZone = query.allowedRegions
			? undefined
			: options.drawZone(query.service, candidates);
		const passed = new Set(query.avoid);
		const limited: LimitedTarget[] = [];
		for (;;) {
			const chosen = chooseServiceTarget(
				candidates,
				drawnZone ?? options.availabilityZone,
				passed,
				random,
			);
			if (!chosen) {
				return {limited, unlimited: undefined};
			}

			const {targetId} = chosen;
			const entry = entryOf(targetId);
			const requestsPerSecond =
				entry && eligibility.standingOf(entry).requestsPerSecond;
			if (requestsPerSecond === undefined) {
				return {limited, unlimited: entry};
			}

			passed.add(targetId);
			limited.push({targetId, requestsPerSecond});
		}
	};

	/** Targets that leave are used only if the service has no other. */
	const choose = (query: CallTargetQuery): Choice => {
		const choice = chooseAmong(query, 'normal');
		const isEmpty =
			choice.unlimited === undefined && choice.limited.length === 0;
		return isEmpty ? chooseAmong(query, 'last-resort') : choice;
	};

	const refuse = (listener: CallTargetListener, retryAfterMs: number) => {
		listener.onNone(limitReason, Math.max(minRetryAfterMs, retryAfterMs));
	};

	/**
	 * Refuses without a request to the coordinator; callers are spread over the time of one more turn.
	 */
	const refuseByEarlierDenial = (
		limited: readonly LimitedTarget[],
		listener: CallTargetListener,
	) => {
		const waitMs = Math.min(
			...limited.map((target) => denials.waitMsOf(target)),
		);
		listener.onPermitDenied(limited, waitMs, undefined);
		refuse(listener, waitMs * (1 + random.nextUnit()));
	};

	const refuseWithoutTarget = (
		{service, allowedRegions}: CallTargetQuery,
		listener: CallTargetListener,
	) => {
		const closed = standings.refusal(service, allowedRegions);
		listener.onNone(
			closed?.reason ?? 'no target of the service is usable',
			closed?.retryAfterMs,
		);
	};

	/** Uses the best target without a limit; if there is none, the caller is refused. */
	const useUnlimited = (
		{unlimited, limited}: Choice,
		query: CallTargetQuery,
		listener: CallTargetListener,
		refuseLimited: () => void,
	) => {
		if (unlimited && directory.get(unlimited.id)) {
			listener.onFound(unlimited, undefined);
		} else if (limited.length > 0) {
			refuseLimited();
		} else {
			refuseWithoutTarget(query, listener);
		}
	};

	const find = (
		query: CallTargetQuery,
		listener: CallTargetListener,
	): Disposable => {
		const owned = createDisposableStore();
		const startedMs = clock.nowMs();
		const choice = choose(query);
		const maxWaitMs = choice.unlimited ? 0 : query.maxWaitMs;
		const targets = choice.limited.filter(
			(target) => denials.waitMsOf(target) <= maxWaitMs,
		);
		if (targets.length === 0) {
			useUnlimited(choice, query, listener, () => {
				refuseByEarlierDenial(choice.limited, listener);
			});
			return owned;
		}

		const handleGrant = (targetId: string, decidedBy: string) => {
			const target = entryOf(targetId);
			const waitMs = clock.nowMs() - startedMs;
			const standing = target && eligibility.standingOf(target);
			if (target && standing && standing.use !== 'none') {
				const {requestsPerSecond} = standing;
				listener.onFound(target, {requestsPerSecond, waitMs, decidedBy});
				return;
			}

			// The target has left meanwhile, wants no requests any more, or its zone is evacuated.
			const remainingQuery = {
				...query,
				avoid: new Set([...query.avoid, targetId]),
				maxWaitMs: Math.max(0, query.maxWaitMs - waitMs),
			};
			owned.add(find(remainingQuery, listener));
		};

		const request: PermitRequest = {targets, maxWaitMs, isUrgent: false};
		owned.add(
			options.requestPermit(request, (decision, decidedBy) => {
				const {waitMs} = decision;
				if (decision.outcome === 'denied') {
					denials.record(targets, waitMs);
					listener.onPermitDenied(targets, waitMs, decidedBy);
					useUnlimited(choice, query, listener, () => {
						refuse(listener, decision.retryAfterMs);
					});
				} else if (waitMs > 0) {
					owned.add(
						timers.after(waitMs, () => {
							handleGrant(decision.targetId, decidedBy);
						}),
					);
				} else {
					handleGrant(decision.targetId, decidedBy);
				}
			}),
		);
		return owned;
	};

	return {
		find,
		track({id}) {
			const changeCount = (change: number) => {
				const openCount = (openCalls.get(id) ?? 0) + change;
				if (openCount > 0) {
					openCalls.set(id, openCount);
				} else {
					openCalls.delete(id);
				}
			};

			changeCount(1);
			detector.recordSent(id);
			return {
				dispose() {
					changeCount(-1);
				},
			};
		},
	};
}
