import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {Disposable} from '../../common/index.js';
import type {EvacuatedZones} from '../../decisions/target-eligibility/index.js';

/** Logs and counts the evacuations of availability zones. */
export function logZoneEvacuations(
	evacuatedZones: Pick<EvacuatedZones, 'onChanged'>,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	return evacuatedZones.onChanged(({availabilityZone, change}) => {
		metrics.count('zone_evacuations', {availabilityZone, change});
		logger.info(`zone evacuation ${change}`, {availabilityZone});
	});
}
