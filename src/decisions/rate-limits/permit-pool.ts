import type {Clock, RandomSource} from '../../common/index.js';
import type {LimitedTarget, PermitDecision, PermitRequest} from './types.js';

/** Permits to send requests to targets with a rate limit, handed out at the rate of each target. */
export type PermitPool = {
	/** Takes a permit for the target whose turn comes first, if it comes in time. */
	take(request: PermitRequest): PermitDecision;
	/** Time until the next turn of a new request at a target, in milliseconds; nothing is taken. */
	waitMs(target: LimitedTarget): number;
	/** Time between two turns at a target, in milliseconds. */
	intervalMs(target: LimitedTarget): number;
	/** Removes the state of targets without turns in the last seconds; called at regular intervals. */
	sweep(): void;
};

export type PermitPoolOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Fraction of each target's rate that this pool hands out, from 0 to 1. */
	readonly rateFraction: () => number;
	/**
	 * Monotonic time from which this pool hands out permits, in milliseconds. Another pool may have used the
	 * turns before it, so that the first permit follows after an interval.
	 */
	readonly startedMs: () => number;
	/** Number of turns that may be used ahead of their time: by new requests after a pause, and by urgent ones. */
	readonly aheadTurns: {readonly usual: number; readonly urgent: number};
	/**
	 * True while the pools of many other VMs may hand out their fractions too. All of them may begin with a target
	 * at the same moment, so that each first waits for a random part of its interval and uses no turn ahead.
	 */
	readonly isOneOfMany: () => boolean;
};

/**
 * Least rate of permits for a target, in requests per second: a response has to show when a target lifts a
 * limit, however low it is.
 */
const minRequestsPerSecond = 0.25;
const millisecondsPerSecond = 1000;
/** Largest time by which denied callers are spread, in milliseconds; those told more give up. */
const maxReturnSpreadMs = 2000;
/** Time after which the unused state of a target is removed, in milliseconds. */
const retentionMs = 30_000;

type TargetTurns = {
	/** Monotonic time of the first turn that nobody has, in milliseconds. */
	nextTurnMs: number;
	/** Monotonic time up to which denied callers were told to return, in milliseconds. */
	returnsUntilMs: number;
	startedMs: number;
};

/** A turn at a target that a request may take. */
type Turn = {
	readonly target: LimitedTarget;
	readonly waitMs: number;
};

/** Creates a pool in which no permit has been taken. */
export function createPermitPool(options: PermitPoolOptions): PermitPool {
	const {clock, random, aheadTurns} = options;
	const turnsByTarget = new Map<string, TargetTurns>();

	const intervalMs = ({requestsPerSecond}: LimitedTarget) =>
		millisecondsPerSecond /
		(Math.max(requestsPerSecond, minRequestsPerSecond) *
			options.rateFraction());

	/** Starts a target's turns at a random part of an interval, so that several pools do not coincide. */
	const startTurns = (target: LimitedTarget): TargetTurns => {
		const startedMs = options.startedMs();
		const spread = random.nextUnit();
		const afterStartMs =
			startedMs + intervalMs(target) * (aheadTurns.usual + 0.5 + spread);
		const firstTurnMs = options.isOneOfMany()
			? Math.max(afterStartMs, clock.nowMs() + intervalMs(target) * spread)
			: afterStartMs;
		const turns: TargetTurns = {
			nextTurnMs: firstTurnMs,
			returnsUntilMs: -Infinity,
			startedMs,
		};
		turnsByTarget.set(target.targetId, turns);
		return turns;
	};

	const turnsOf = (target: LimitedTarget): TargetTurns => {
		const turns = turnsByTarget.get(target.targetId);
		return turns?.startedMs === options.startedMs()
			? turns
			: startTurns(target);
	};

	const aheadOf = (kind: 'urgent' | 'usual') =>
		options.isOneOfMany() ? 0 : aheadTurns[kind];

	const waitMsOf = (target: LimitedTarget, ahead: number) =>
		Math.max(
			0,
			turnsOf(target).nextTurnMs - ahead * intervalMs(target) - clock.nowMs(),
		);

	const firstTurn = ({targets, isUrgent}: PermitRequest): Turn | undefined => {
		const ahead = aheadOf(isUrgent ? 'urgent' : 'usual');
		let first: Turn | undefined;
		for (const target of targets) {
			const waitMs = waitMsOf(target, ahead);
			if (!first || waitMs < first.waitMs) {
				first = {target, waitMs};
			}
		}

		return first;
	};

	const grant = ({target, waitMs}: Turn): PermitDecision => {
		const turns = turnsOf(target);
		turns.nextTurnMs =
			Math.max(clock.nowMs(), turns.nextTurnMs) + intervalMs(target);
		return {outcome: 'granted', targetId: target.targetId, waitMs};
	};

	/** Denies a request; the callers denied one after the other are told different times. */
	const deny = ({target, waitMs}: Turn): PermitDecision => {
		const nowMs = clock.nowMs();
		const turns = turnsOf(target);
		const returnMs = Math.max(nowMs + waitMs, turns.returnsUntilMs);
		turns.returnsUntilMs = Math.min(
			returnMs + intervalMs(target),
			nowMs + waitMs + maxReturnSpreadMs,
		);
		return {outcome: 'denied', waitMs, retryAfterMs: returnMs - nowMs};
	};

	return {
		take(request) {
			const turn = firstTurn(request);
			if (!turn) {
				return {outcome: 'denied', waitMs: Infinity, retryAfterMs: Infinity};
			}

			return turn.waitMs <= request.maxWaitMs ? grant(turn) : deny(turn);
		},
		waitMs: (target) => waitMsOf(target, aheadOf('usual')),
		intervalMs,
		sweep() {
			const nowMs = clock.nowMs();
			for (const [targetId, turns] of turnsByTarget) {
				if (nowMs - turns.nextTurnMs > retentionMs) {
					turnsByTarget.delete(targetId);
				}
			}
		},
	};
}
