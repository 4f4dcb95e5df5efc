import {ProblemError} from '../../common/index.js';
import type {
	LimitedTarget,
	PermitDecision,
	PermitRequest,
	RateLimitReport,
} from '../rate-limits/index.js';
import type {FieldReader} from './field-reader.js';

/** Sent for longer times, since JSON cannot hold Infinity, in milliseconds. */
const maxTimeMs = 1e9;

const encodeTime = (timeMs: number) => Math.round(Math.min(timeMs, maxTimeMs));

export const encodeRateLimitReport = (report: RateLimitReport) => [
	report.targetId,
	report.requestsPerSecond ?? null,
	encodeTime(report.ageMs),
];

export function decodeRateLimitReport(fields: FieldReader): RateLimitReport {
	return {
		targetId: fields.string(),
		requestsPerSecond: fields.optionalNumber(),
		ageMs: fields.number(),
	};
}

export const encodePermitRequest = (request: PermitRequest) => [
	request.targets.map((target) => [target.targetId, target.requestsPerSecond]),
	encodeTime(request.maxWaitMs),
	request.isUrgent ? 1 : 0,
];

const decodeLimitedTarget = (fields: FieldReader): LimitedTarget => ({
	targetId: fields.string(),
	requestsPerSecond: fields.number(),
});

export function decodePermitRequest(fields: FieldReader): PermitRequest {
	return {
		targets: fields.list(decodeLimitedTarget),
		maxWaitMs: fields.number(),
		isUrgent: fields.boolean(),
	};
}

export function encodePermitDecision(decision: PermitDecision | undefined) {
	switch (decision?.outcome) {
		case 'granted': {
			return ['g', decision.targetId, encodeTime(decision.waitMs)];
		}

		case 'denied': {
			const {waitMs, retryAfterMs} = decision;
			return ['d', encodeTime(waitMs), encodeTime(retryAfterMs)];
		}

		case undefined: {
			return ['n'];
		}
	}
}

export function decodePermitDecision(
	fields: FieldReader,
): PermitDecision | undefined {
	const outcome = fields.string();
	switch (outcome) {
		case 'g': {
			return {
				outcome: 'granted',
				targetId: fields.string(),
				waitMs: fields.number(),
			};
		}

		case 'd': {
			return {
				outcome: 'denied',
				waitMs: fields.number(),
				retryAfterMs: fields.number(),
			};
		}

		case 'n': {
			return undefined;
		}

		default: {
			throw new ProblemError(
				'peer-protocol',
				'the outcome of a permit decision must be "g", "d" or "n"',
			);
		}
	}
}
