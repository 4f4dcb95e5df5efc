import type {Clock, TargetEntry} from '../../common/index.js';
import type {TargetReport, TargetTotals} from './types.js';

/** One send of a call, observed until its outcome. */
export type ObservedCall = {
	/**
	 * Records the answer or the failure; only the first outcome counts.
	 * @param latencyMs - time since the send, in milliseconds
	 */
	recordOutcome(isAnswered: boolean, latencyMs: number): void;
	/** Ends the observation; a call that is neither overdue nor has an outcome then says nothing. */
	dispose(): void;
};

/** Counts what this VM's calls to plain services show of the targets. */
export type CallObserver = {
	/** True if a failure or the outcome of a trial has been counted since the last report. */
	readonly isUrgent: boolean;
	/**
	 * Observes a call from its send.
	 * @param isTrial - true if the fleet avoids the target
	 */
	observe(
		target: Pick<TargetEntry, 'id' | 'service'>,
		isIdempotent: boolean,
		isTrial: boolean,
	): ObservedCall;
	/** Counts the open calls that have become overdue; called at regular intervals. */
	check(): void;
	/** @returns the totals that have changed recently; undefined if none has changed since the last report */
	takeReport(): TargetReport | undefined;
};

/** A call is overdue after this multiple of the usual time of its service. */
const overdueFactor = 6;
/** Shortest time after which a call is overdue, in milliseconds. */
const minOverdueMs = 150;
/** Weight of a new latency in the usual time of a service. */
const smoothing = 0.1;
/** Time for which changed totals are reported again, since datagrams get lost, in milliseconds. */
const repeatMs = 3000;
/** Time after which the totals of a target without calls are removed, in milliseconds. */
const retentionMs = 600_000;

type MutableTotals = {-readonly [Key in keyof TargetTotals]: TargetTotals[Key]};
type TargetState = {readonly totals: MutableTotals; changedMs: number};
type OpenCall = {
	readonly service: string;
	readonly startedMs: number;
	readonly count: (change: 'overdue') => void;
};

export function createCallObserver(clock: Clock): CallObserver {
	const incarnation = Math.round(clock.wallMs());
	const targets = new Map<string, TargetState>();
	const usualMs = new Map<string, number>();
	const openCalls = new Set<OpenCall>();
	let sequence = 0;
	let isUrgent = false;
	let hasChanged = false;

	const totalsOf = (targetId: string): MutableTotals => {
		const state = targets.get(targetId);
		if (state) {
			state.changedMs = clock.nowMs();
			return state.totals;
		}

		const totals: MutableTotals = {
			targetId,
			answers: 0,
			failures: 0,
			idempotentCalls: 0,
			trialAnswers: 0,
			trialFailures: 0,
		};
		targets.set(targetId, {totals, changedMs: clock.nowMs()});
		return totals;
	};

	const recordLatency = (service: string, latencyMs: number) => {
		const usual = usualMs.get(service) ?? latencyMs;
		usualMs.set(service, usual + (latencyMs - usual) * smoothing);
	};

	const overdueAfterMs = (service: string) =>
		Math.max(minOverdueMs, overdueFactor * (usualMs.get(service) ?? 0));

	const removeOld = () => {
		for (const [targetId, {changedMs}] of targets) {
			if (clock.nowMs() - changedMs > retentionMs) {
				targets.delete(targetId);
			}
		}
	};

	return {
		get isUrgent() {
			return isUrgent;
		},
		observe({id, service}, isIdempotent, isTrial) {
			let state: 'answered' | 'failed' | 'open' | 'overdue' = 'open';

			const addFailures = (totals: MutableTotals, change: number) => {
				totals.failures += change;
				totals.trialFailures += isTrial ? change : 0;
			};

			const count = (next: 'answered' | 'failed' | 'overdue') => {
				const totals = totalsOf(id);
				if (state === 'open') {
					totals.idempotentCalls += isIdempotent ? 1 : 0;
				}

				if (next === 'answered') {
					addFailures(totals, state === 'overdue' ? -1 : 0);
					totals.answers++;
					totals.trialAnswers += isTrial ? 1 : 0;
				} else if (state === 'open') {
					addFailures(totals, 1);
				}

				isUrgent ||= isTrial || next !== 'answered';
				hasChanged = true;
				state = next;
			};

			const open: OpenCall = {service, startedMs: clock.nowMs(), count};
			openCalls.add(open);
			return {
				recordOutcome(isAnswered, latencyMs) {
					openCalls.delete(open);
					if (state === 'answered' || state === 'failed') {
						return;
					}

					count(isAnswered ? 'answered' : 'failed');
					if (isAnswered) {
						recordLatency(service, latencyMs);
					}
				},
				dispose() {
					openCalls.delete(open);
				},
			};
		},
		check() {
			for (const open of openCalls) {
				const openMs = clock.nowMs() - open.startedMs;
				if (openMs >= overdueAfterMs(open.service)) {
					openCalls.delete(open);
					open.count('overdue');
				}
			}
		},
		takeReport() {
			if (!hasChanged) {
				return undefined;
			}

			removeOld();
			isUrgent = false;
			hasChanged = false;
			sequence++;
			const sinceMs = clock.nowMs() - repeatMs;
			const totals = [...targets.values()]
				.filter(({changedMs}) => changedMs >= sinceMs)
				.map((state) => ({...state.totals}));
			return {incarnation, sequence, totals};
		},
	};
}
