import type {AvoidedTarget} from './types.js';

/** Trials and return of one target that the fleet avoids. */
export type Recovery = {
	/** True once the target has answered enough trials and gets more calls again. */
	readonly isReturning: boolean;
	/** Counts the outcomes of calls that were sent while the target was avoided. */
	recordTrials(outcome: TrialOutcome, nowMs: number): void;
	/**
	 * Shares of its usual calls that the target gets now.
	 * @param usual - usual calls of the whole fleet to the target
	 */
	sharesAt(nowMs: number, usual: UsualCalls): Shares;
	/** True once it has its whole share back. */
	isOverAt(nowMs: number): boolean;
	/** True if neither trials nor calls have shown anything for some seconds. */
	isStaleAt(nowMs: number): boolean;
};

/** Outcomes of calls that were sent while the target was avoided. */
export type TrialOutcome = {
	readonly answers: number;
	readonly failures: number;
	/** Share of failures at the other targets. */
	readonly commonShare: number;
};

export type UsualCalls = {
	/** Idempotent calls in a second. */
	readonly idempotentPerSecond: number;
	/** All calls in a second. */
	readonly perSecond: number;
};

type Shares = Pick<AvoidedTarget, 'idempotentShare' | 'otherShare'>;

export type RecoveryOptions = {
	/** Monotonic time from which the target is avoided, in milliseconds. */
	readonly sinceMs: number;
	/** Share of its calls that the target failed. */
	readonly failureShare: number;
	/** Times that the target was avoided and failed again soon after its return. */
	readonly relapses: number;
};

/** Trials in a second, all VMs together, if the service has idempotent calls; these can be hedged. */
const trialsPerSecond = 3;
/** Trials in a second if only calls that are not idempotent can show that the target is well again. */
const otherTrialsPerSecond = 1;
/** Rate of idempotent calls to a target below which others are used for trials, per second. */
const minIdempotentPerSecond = 0.5;
/** Probability with which a target is taken for well although it fails as before, or the other way round. */
const chanceOfFalseReturn = 0.05;
/** Bounds of the share of failures of a target that is not well; with the upper one, three answers suffice. */
const minFailureShare = 0.3;
const maxFailureShare = 0.7;
/** Weight of a new trial in the share of failures of the trials. */
const smoothing = 0.1;
/** Smallest share of failures that is expected of a target that is well. */
const minCommonShare = 0.1;
/** Time in which the share of a target that is well again rises to the whole, in milliseconds. */
const returnMs = 2000;
/** Age of the last outcome after which a target is not avoided any more, in milliseconds. */
const staleMs = 5000;

const clamp = (value: number, min: number, max: number) =>
	Math.min(max, Math.max(min, value));

export function createRecovery(options: RecoveryOptions): Recovery {
	/** Share of failures of the last trials, which starts with that of the calls before. */
	let trialFailureShare = options.failureShare;
	/** Share of failures that the target would have if it were not well: the highest one so far. */
	let failureShare = clamp(trialFailureShare, minFailureShare, maxFailureShare);
	const relapseEvidence = -Math.log(chanceOfFalseReturn);
	const neededEvidence = relapseEvidence * 2 ** options.relapses;
	/** For the target while it is avoided, against it while it returns. */
	let evidence = 0;
	let returningSinceMs: number | undefined;
	let recordedMs = options.sinceMs;

	/** Logarithm of how much likelier an outcome is if the target is well than if it fails as before. */
	const weightOf = ({answers, failures, commonShare}: TrialOutcome) => {
		const wellShare = clamp(commonShare, minCommonShare, failureShare);
		return (
			answers * Math.log((1 - wellShare) / (1 - failureShare)) +
			failures * Math.log(wellShare / failureShare)
		);
	};

	const updateFailureShare = ({failures}: TrialOutcome) => {
		const isFailed = failures > 0 ? 1 : 0;
		trialFailureShare += (isFailed - trialFailureShare) * smoothing;
		failureShare = clamp(trialFailureShare, failureShare, maxFailureShare);
	};

	const recordTrial = (outcome: TrialOutcome, nowMs: number) => {
		updateFailureShare(outcome);
		evidence = Math.max(0, evidence + weightOf(outcome));
		if (evidence >= neededEvidence) {
			returningSinceMs = nowMs;
			evidence = 0;
		}
	};

	/** Counts evidence against a target that gets more calls again. */
	const recordReturn = (outcome: TrialOutcome) => {
		evidence = Math.max(0, evidence - weightOf(outcome));
		if (evidence >= relapseEvidence) {
			returningSinceMs = undefined;
			evidence = 0;
		}
	};

	const trialShares = (usual: UsualCalls): Shares => {
		const {idempotentPerSecond, perSecond} = usual;
		if (idempotentPerSecond >= minIdempotentPerSecond) {
			const share = Math.min(1, trialsPerSecond / idempotentPerSecond);
			return {idempotentShare: share, otherShare: 0};
		}

		const share = Math.min(1, otherTrialsPerSecond / Math.max(1e-3, perSecond));
		return {idempotentShare: 1, otherShare: share};
	};

	return {
		get isReturning() {
			return returningSinceMs !== undefined;
		},
		recordTrials(outcome, nowMs) {
			const {answers, failures} = outcome;
			if (answers === 0 && failures === 0) {
				return;
			}

			recordedMs = nowMs;
			if (returningSinceMs === undefined) {
				recordTrial(outcome, nowMs);
			} else {
				recordReturn(outcome);
			}
		},
		sharesAt(nowMs, usual) {
			const trial = trialShares(usual);
			if (returningSinceMs === undefined) {
				return trial;
			}

			const returned = Math.min(1, (nowMs - returningSinceMs) / returnMs);
			return {
				idempotentShare: Math.max(trial.idempotentShare, returned),
				otherShare: Math.max(trial.otherShare, returned),
			};
		},
		isOverAt: (nowMs) =>
			returningSinceMs !== undefined && nowMs - returningSinceMs >= returnMs,
		isStaleAt: (nowMs) => nowMs - recordedMs >= staleMs,
	};
}
