import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {Disposable} from '../../common/index.js';
import type {
	PermitDecision,
	RateLimitTable,
} from '../../decisions/rate-limits/index.js';

/** Logs and counts the changes of the targets' rate limits. */
export function logRateLimitChanges(
	table: RateLimitTable,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	return table.onChanged((change) => {
		const {targetId, requestsPerSecond, previousPerSecond, source} = change;
		const isLifted = requestsPerSecond === undefined;
		metrics.count('rate_limit_changes', {
			target: targetId,
			change: isLifted ? 'lifted' : 'set',
			source,
		});
		logger.info(isLifted ? 'rate limit lifted' : 'rate limit set', {
			target: targetId,
			requestsPerSecond,
			previousPerSecond,
			source,
			ageMs: Math.round(change.ageMs),
		});
	});
}

/** Counts a decision on a permit and, if it was granted, measures the wait for the turn. */
export function countPermitDecision(
	metrics: Metrics,
	{outcome, waitMs}: PermitDecision,
): void {
	metrics.count('rate_permits', {outcome});
	if (outcome === 'granted') {
		metrics.histogram('turn_wait', {}).recordValue(Math.round(waitMs));
	}
}
