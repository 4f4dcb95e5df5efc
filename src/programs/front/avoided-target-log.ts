import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {Disposable} from '../../common/index.js';
import type {AvoidedTargets} from '../../decisions/fleet-health/index.js';

/** Logs and counts the targets that are avoided by the evidence of the fleet. */
export function logAvoidedTargets(
	avoidedTargets: Pick<AvoidedTargets, 'onChanged'>,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	return avoidedTargets.onChanged(({targetId, change, cause}) => {
		metrics.count('target_avoidances', {target: targetId, change, cause});
		logger.info(`avoidance of a target ${change}`, {target: targetId, cause});
	});
}
