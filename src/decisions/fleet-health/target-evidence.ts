import {createDecayingCount} from './decaying-count.js';

/** Recent calls of all VMs to one target. */
export type TargetEvidence = {
	/** Calls of about the last two seconds. */
	readonly calls: number;
	/** Failures among `calls`. */
	readonly failures: number;
	/** Calls expected in about the last 300 ms, by the usual rate. */
	readonly recentCalls: number;
	/** Failures of about the last 300 ms, which are reported at once. */
	readonly recentFailures: number;
	/** Idempotent calls in a second. */
	readonly idempotentPerSecond: number;
};

/** Changes of the totals of one VM. */
export type EvidenceChange = {
	readonly answers: number;
	readonly failures: number;
	readonly idempotentCalls: number;
};

export type EvidenceCounter = {
	add(change: EvidenceChange, nowMs: number): void;
	at(nowMs: number): TargetEvidence;
	/** Forgets the failures. */
	forgive(): void;
};

const slowMs = 2000;
const fastMs = 300;

export function createEvidenceCounter(): EvidenceCounter {
	const answers = createDecayingCount(slowMs);
	const failures = createDecayingCount(slowMs);
	const recentFailures = createDecayingCount(fastMs);
	const idempotentCalls = createDecayingCount(slowMs);
	return {
		add(change, nowMs) {
			answers.add(change.answers, nowMs);
			failures.add(change.failures, nowMs);
			recentFailures.add(change.failures, nowMs);
			idempotentCalls.add(change.idempotentCalls, nowMs);
		},
		at(nowMs) {
			const calls = answers.at(nowMs) + failures.at(nowMs);
			return {
				calls,
				failures: failures.at(nowMs),
				recentCalls: (calls * fastMs) / slowMs,
				recentFailures: recentFailures.at(nowMs),
				idempotentPerSecond: (idempotentCalls.at(nowMs) * 1000) / slowMs,
			};
		},
		forgive() {
			failures.reset();
			recentFailures.reset();
		},
	};
}

/** Calls that a target needs for its share of failures to be compared with that of others. */
const minComparedCalls = 3;
/** Difference between the shares of failures that counts as clear. */
const minShareDifference = 0.2;
/** Fraction of the recent calls that fail when a target fails all of a sudden. */
const minSuddenShare = 0.5;
/** Standard deviations by which the failures exceed what the share of the other targets explains. */
const deviations = 3;
const minExcess = 1.5;

/** Largest number of failures that chance explains. */
const explainedFailures = (expected: number) =>
	expected + deviations * Math.sqrt(expected) + minExcess;

/** Added to the failures of a target that others are compared with, so that few calls say little. */
const addedFailures = 0.5;
const addedCalls = 2;

const cautiousShare = (failures: number, calls: number) =>
	Math.min(1, (failures + addedFailures) / (calls + addedCalls));

/** Shares of failures that the requests themselves cause, as the best other target shows them. */
export type CommonShares = {
	/** Of about the last two seconds. */
	readonly lasting: number;
	/** The larger one of `lasting` and that of about the last 300 ms. */
	readonly recent: number;
};

/**
 * Estimates the common shares from the other targets of a service.
 * @returns undefined if no other target has been called lately
 */
export function commonSharesOf(
	others: readonly TargetEvidence[],
): CommonShares | undefined {
	const compared = others.filter(({calls}) => calls >= minComparedCalls);
	if (compared.length === 0) {
		return undefined;
	}

	const shares = compared.map((evidence) => {
		const lasting = cautiousShare(evidence.failures, evidence.calls);
		const recent = cautiousShare(evidence.recentFailures, evidence.recentCalls);
		return {lasting, recent: Math.max(lasting, recent)};
	});
	return {
		lasting: Math.min(...shares.map(({lasting}) => lasting)),
		recent: Math.min(...shares.map(({recent}) => recent)),
	};
}

/** Decides whether a target fails a clearly larger share of its calls than the best of the others. */
export function failsMoreThan(
	evidence: TargetEvidence,
	common: CommonShares,
): boolean {
	const {calls, failures, recentCalls, recentFailures} = evidence;
	const isSudden =
		recentFailures >= minSuddenShare * recentCalls &&
		recentFailures >= explainedFailures(common.recent * recentCalls);
	const isLasting =
		failures >= (common.lasting + minShareDifference) * calls &&
		failures >= explainedFailures(common.lasting * calls);
	return isSudden || isLasting;
}

/** Share of its recent calls that a target has failed. */
export const failureShareOf = (evidence: TargetEvidence) =>
	Math.min(
		1,
		Math.max(
			evidence.failures / Math.max(1, evidence.calls),
			evidence.recentFailures / Math.max(1, evidence.recentCalls),
		),
	);
