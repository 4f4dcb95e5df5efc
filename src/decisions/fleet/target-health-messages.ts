import type {AvoidedTarget, TargetTotals} from '../fleet-health/index.js';
import type {FieldReader} from './field-reader.js';

/** Precision of shares in messages. */
const unitsPerShare = 10_000;

export const encodeTargetTotals = (totals: TargetTotals) => [
	totals.targetId,
	totals.answers,
	totals.failures,
	totals.idempotentCalls,
	totals.trialAnswers,
	totals.trialFailures,
];

export function decodeTargetTotals(fields: FieldReader): TargetTotals {
	return {
		targetId: fields.string(),
		answers: fields.number(),
		failures: fields.number(),
		idempotentCalls: fields.number(),
		trialAnswers: fields.number(),
		trialFailures: fields.number(),
	};
}

export const encodeAvoidedTarget = (target: AvoidedTarget) => [
	target.targetId,
	Math.round(target.idempotentShare * unitsPerShare),
	Math.round(target.otherShare * unitsPerShare),
];

export function decodeAvoidedTarget(fields: FieldReader): AvoidedTarget {
	return {
		targetId: fields.string(),
		idempotentShare: fields.number() / unitsPerShare,
		otherShare: fields.number() / unitsPerShare,
	};
}
