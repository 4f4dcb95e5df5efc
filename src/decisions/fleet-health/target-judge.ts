import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
} from '../../common/index.js';
import {createRecovery, type Recovery} from './recovery.js';
import {createReportChanges, type TotalsChange} from './report-changes.js';
import {
	commonSharesOf,
	createEvidenceCounter,
	type EvidenceCounter,
	failsMoreThan,
	failureShareOf,
} from './target-evidence.js';
import type {AvoidedTarget, TargetReport} from './types.js';

/**
 * Decides from the reports of all VMs which targets of plain services fail a clearly larger share of their
 * calls than the other targets of their service, and how many calls they get meanwhile.
 */
export type TargetJudge = Disposable & {
	/** Fires when a target is avoided from now on, returns, or is avoided no longer. */
	readonly onChanged: Event<void>;
	/** @param from - address of the VM that has sent the report */
	recordReport(from: string, report: TargetReport): void;
	/** Decides again by the evidence of now; called at regular intervals. */
	evaluate(): void;
	/** Targets that get only part of their usual calls. */
	avoided(): readonly AvoidedTarget[];
	/** Forgets the VMs that are not known any more. */
	retainOnly(addresses: ReadonlySet<string>): void;
};

export type TargetJudgeOptions = {
	readonly clock: Clock;
	/** Service of a usable target; undefined if it is not known. */
	readonly serviceOf: (targetId: string) => string | undefined;
};

/**
 * Share of failures of the best target left from which no target is avoided any more, since avoiding one
 * no longer helps.
 */
const hopelessShare = 0.5;
/** Time after a return in which a target that fails again needs more evidence to return, in milliseconds. */
const relapseMemoryMs = 10_000;
/** Largest number of doublings of the evidence that is needed. */
const maxRelapses = 2;

/** Time in which the first reports of all VMs on a target come in, in milliseconds. */
const settleMs = 2000;
/** Time for which no target of a service is avoided after avoiding one has not helped, in milliseconds. */
const hopelessMs = 2000;

type JudgedTarget = {
	readonly targetId: string;
	readonly service: string;
	readonly counter: EvidenceCounter;
	/** Monotonic time of the first report, in milliseconds. */
	readonly knownSinceMs: number;
	recovery: Recovery | undefined;
	relapses: number;
	/** Monotonic time of the last return, in milliseconds. */
	returnedMs: number;
};

export function createTargetJudge(options: TargetJudgeOptions): TargetJudge {
	const {clock, serviceOf} = options;
	const changes = createReportChanges();
	const targets = new Map<string, JudgedTarget>();
	/** Monotonic times until which no target of a service is avoided, in milliseconds. */
	const hopelessUntilMs = new Map<string, number>();
	const changed = createEmitter<void>();

	const targetOf = (targetId: string): JudgedTarget | undefined => {
		const service = serviceOf(targetId);
		if (service === undefined) {
			return undefined;
		}

		let target = targets.get(targetId);
		if (target?.service !== service) {
			target = {
				targetId,
				service,
				counter: createEvidenceCounter(),
				knownSinceMs: clock.nowMs(),
				recovery: undefined,
				relapses: 0,
				returnedMs: -Infinity,
			};
			targets.set(targetId, target);
		}

		return target;
	};

	const removeUnknown = () => {
		for (const {targetId, service} of targets.values()) {
			if (serviceOf(targetId) !== service) {
				targets.delete(targetId);
			}
		}
	};

	/** Targets that can stand in for a target: those that are not avoided themselves. */
	const standInsFor = ({service, targetId}: JudgedTarget) =>
		[...targets.values()].filter(
			(other) =>
				other.service === service &&
				other.targetId !== targetId &&
				other.recovery === undefined,
		);

	const commonSharesFor = (target: JudgedTarget) =>
		commonSharesOf(
			standInsFor(target).map(({counter}) => counter.at(clock.nowMs())),
		);

	const recordChange = (change: TotalsChange) => {
		const target = targetOf(change.targetId);
		if (!target) {
			return;
		}

		const nowMs = clock.nowMs();
		target.counter.add(change, nowMs);
		const wasReturning = target.recovery?.isReturning;
		target.recovery?.recordTrials(
			{
				answers: change.trialAnswers,
				failures: change.trialFailures,
				commonShare: commonSharesFor(target)?.lasting ?? 0,
			},
			nowMs,
		);
		if (target.recovery && target.recovery.isReturning !== wasReturning) {
			target.counter.forgive();
			changed.fire();
		}
	};

	const avoid = (target: JudgedTarget) => {
		const nowMs = clock.nowMs();
		const isRelapse = nowMs - target.returnedMs < relapseMemoryMs;
		target.relapses = isRelapse
			? Math.min(maxRelapses, target.relapses + 1)
			: 0;
		target.recovery = createRecovery({
			sinceMs: nowMs,
			failureShare: failureShareOf(target.counter.at(nowMs)),
			relapses: target.relapses,
		});
		changed.fire();
	};

	const release = (target: JudgedTarget) => {
		target.recovery = undefined;
		target.returnedMs = clock.nowMs();
		changed.fire();
	};

	const mayAvoid = ({service, knownSinceMs}: JudgedTarget) =>
		clock.nowMs() - knownSinceMs >= settleMs &&
		clock.nowMs() >= (hopelessUntilMs.get(service) ?? -Infinity);

	const evaluateUsed = (target: JudgedTarget) => {
		const common = commonSharesFor(target);
		if (
			mayAvoid(target) &&
			common !== undefined &&
			failsMoreThan(target.counter.at(clock.nowMs()), common)
		) {
			avoid(target);
		}
	};

	const evaluateAvoided = (target: JudgedTarget, recovery: Recovery) => {
		const nowMs = clock.nowMs();
		const common = commonSharesFor(target);
		const isHopeless = common === undefined || common.recent >= hopelessShare;
		if (isHopeless) {
			hopelessUntilMs.set(target.service, nowMs + hopelessMs);
			release(target);
		} else if (recovery.isOverAt(nowMs) || recovery.isStaleAt(nowMs)) {
			target.counter.forgive();
			release(target);
		}
	};

	/** Calls that a target would get if it were not avoided: the same part as each of the others. */
	const usualCallsOf = ({service}: JudgedTarget) => {
		const evidence = [...targets.values()]
			.filter((target) => target.service === service)
			.map(({counter}) => counter.at(clock.nowMs()));
		let idempotentPerSecond = 0;
		let perSecond = 0;
		for (const {idempotentPerSecond: rate, calls} of evidence) {
			idempotentPerSecond += rate / evidence.length;
			perSecond += calls / 2 / evidence.length;
		}

		return {idempotentPerSecond, perSecond};
	};

	return {
		onChanged: changed.event,
		recordReport(from, report) {
			for (const change of changes.changesIn(from, report)) {
				recordChange(change);
			}
		},
		evaluate() {
			removeUnknown();
			for (const target of targets.values()) {
				if (target.recovery) {
					evaluateAvoided(target, target.recovery);
				} else {
					evaluateUsed(target);
				}
			}
		},
		avoided: () =>
			[...targets.values()].flatMap((target) =>
				target.recovery
					? [
							{
								targetId: target.targetId,
								...target.recovery.sharesAt(
									clock.nowMs(),
									usualCallsOf(target),
								),
							},
						]
					: [],
			),
		retainOnly(addresses) {
			changes.retainOnly(addresses);
		},
		dispose() {
			changed.dispose();
		},
	};
}
