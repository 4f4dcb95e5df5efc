import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {Disposable} from '../../common/index.js';
import type {ColdTargets} from '../../decisions/target-eligibility/index.js';

/** Logs and counts when targets start to count as cold, and when they stop. */
export function logColdTargets(
	coldTargets: Pick<ColdTargets, 'onChanged'>,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	return coldTargets.onChanged((coldChange) => {
		const {targetId, change} = coldChange;
		metrics.count('cold_targets', {change});
		if (coldChange.change === 'ends') {
			logger.info('target no longer counts as cold', {target: targetId});
			return;
		}

		const {forMs, source} = coldChange;
		logger.info('target counts as cold', {
			target: targetId,
			source,
			forMs: Number.isFinite(forMs) ? Math.round(forMs) : undefined,
		});
	});
}
