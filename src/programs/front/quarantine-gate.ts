import type {Metrics} from '../../adapters/system/index.js';
import {type CallerRequest, promptPartIds} from '../../common/index.js';
import type {
	PromptQuarantine,
	QuarantineDecision,
} from '../../decisions/quarantine/index.js';
import type {DecisionLog} from '../../decisions/serving/index.js';

/** Why a request is not served, and when it may return. */
export type QuarantineRefusal = {
	readonly reason: string;
	/** Time after which the next request with these prompt parts may be sent, in milliseconds. */
	readonly retryAfterMs: number;
};

/** Applies the quarantine of prompt parts to requests, and logs its decisions. */
export type QuarantineGate = {
	/** @returns undefined for a request that may be served */
	check(request: CallerRequest): QuarantineRefusal | undefined;
	/** Why a request that has run may not be sent to an engine again; undefined if it may. */
	heldReason(request: CallerRequest): string | undefined;
	/** Checks a request that was let through before. */
	recheck(request: CallerRequest): QuarantineRefusal | undefined;
};

const reason = 'engines end under parts of this prompt';

export function createQuarantineGate(
	quarantine: PromptQuarantine,
	metrics: Metrics,
	log: DecisionLog,
): QuarantineGate {
	const refusalFor = (
		request: CallerRequest,
		decision: QuarantineDecision | undefined,
	): QuarantineRefusal | undefined => {
		if (!decision || decision.outcome === 'free') {
			return undefined;
		}

		const {outcome, partIds} = decision;
		const promptParts = partIds.join(' ');
		metrics.count('quarantine_decisions', {outcome});
		if (outcome === 'trial') {
			log('quarantine trial', {request: request.id, promptParts});
			return undefined;
		}

		const {crashCount, retryAfterMs} = decision;
		log('request held', {
			request: request.id,
			promptParts,
			crashes: crashCount,
			retryAfterMs: Math.round(retryAfterMs),
		});
		return {reason, retryAfterMs};
	};

	return {
		heldReason: (request) => quarantine.held(promptPartIds(request)) && reason,
		check: (request) =>
			refusalFor(request, quarantine.decide(promptPartIds(request))),
		recheck: (request) =>
			refusalFor(request, quarantine.held(promptPartIds(request))),
	};
}
