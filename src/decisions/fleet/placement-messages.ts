import {ProblemError} from '../../common/index.js';
import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../scheduling/index.js';
import type {FieldReader} from './field-reader.js';

export const encodeRun = (run: RunState) => [
	run.id,
	run.targetId,
	run.copyTargetId ?? null,
	run.promptTokens,
	Math.round(run.doneTokens),
	Math.round(run.remainingTokens),
	run.priority,
	run.account,
];

export function decodeRun(fields: FieldReader): RunState {
	return {
		id: fields.string(),
		targetId: fields.string(),
		copyTargetId: fields.optionalString(),
		promptTokens: fields.number(),
		doneTokens: fields.number(),
		remainingTokens: fields.number(),
		priority: fields.number(),
		account: fields.stringOr(''),
	};
}

export const encodeRequest = (request: PlacementRequest) => [
	request.id,
	request.service,
	request.purpose === 'run' ? 1 : 0,
	request.promptTokens,
	Math.round(request.expectedTokens),
	Math.round(request.doneTokens),
	request.preferredZone,
	request.excludedTargetIds,
	Math.round(request.previousWaitMs),
	Math.round(request.waitedMs),
	Math.round(request.objectiveMs),
	Math.round(request.remainingMs),
	request.priority,
	request.isPrecaution ? 1 : 0,
	request.account,
];

export function decodeRequest(fields: FieldReader): PlacementRequest {
	return {
		id: fields.string(),
		service: fields.string(),
		purpose: fields.boolean() ? 'run' : 'copy',
		promptTokens: fields.number(),
		expectedTokens: fields.number(),
		doneTokens: fields.number(),
		preferredZone: fields.string(),
		excludedTargetIds: fields.strings(),
		previousWaitMs: fields.number(),
		waitedMs: fields.number(),
		objectiveMs: fields.number(),
		remainingMs: fields.number(),
		priority: fields.number(),
		isPrecaution: fields.numberOr(0) !== 0,
		account: fields.stringOr(''),
	};
}

export const encodeDecision = (decision: PlacementDecision) => {
	switch (decision.outcome) {
		case 'placed': {
			const {placement} = decision;
			return [
				'p',
				placement.targetId,
				placement.copyTargetId ?? null,
				Math.round(placement.firstTokenMs),
				Number(placement.memoryFraction.toFixed(2)),
				placement.isLate ? 1 : 0,
			];
		}

		case 'waiting': {
			return ['w', decision.waitingCount];
		}

		case 'refused': {
			return ['r', decision.reason, Math.round(decision.retryAfterMs)];
		}
	}
};

export function decodeDecision(fields: FieldReader): PlacementDecision {
	const outcome = fields.string();
	switch (outcome) {
		case 'p': {
			return {
				outcome: 'placed',
				placement: {
					targetId: fields.string(),
					copyTargetId: fields.optionalString(),
					firstTokenMs: fields.number(),
					memoryFraction: fields.number(),
					isLate: fields.boolean(),
				},
			};
		}

		case 'w': {
			return {outcome: 'waiting', waitingCount: fields.number()};
		}

		case 'r': {
			return {
				outcome: 'refused',
				reason: fields.string(),
				retryAfterMs: fields.number(),
			};
		}

		default: {
			throw new ProblemError(
				'peer-protocol',
				'the outcome of a placement decision must be "p", "w" or "r"',
			);
		}
	}
}
