import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {
	ServiceStandings,
	TargetDirectory,
} from '../../decisions/serving/index.js';

export type AvoidedTargetsOptions = {
	readonly directory: Pick<TargetDirectory, 'usable'>;
	readonly detector: Pick<OutlierDetector, 'excluded'>;
	readonly standings: Pick<ServiceStandings, 'leftOutIds'>;
};

/**
 * Largest fraction of a service's engines that are avoided because the outlier detector excludes them.
 * The detector sees only the requests of this VM; if it excludes more engines, none is avoided.
 */
const maxExcludedFraction = 0.5;

/** Creates the list of the engines of a service that a request of this VM is not placed at, by their ids. */
export const createAvoidedTargets =
	({directory, detector, standings}: AvoidedTargetsOptions) =>
	(service: string): readonly string[] => {
		const usable = directory.usable(service);
		const excluded = detector.excluded(service);
		const leftOutIds = standings.leftOutIds(service);
		return excluded.size > usable.length * maxExcludedFraction
			? leftOutIds
			: [...excluded, ...leftOutIds];
	};
