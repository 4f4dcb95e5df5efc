import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {
	ServiceStandings,
	TargetDirectory,
} from '../../decisions/serving/index.js';
import type {
	AllowedRegions,
	TargetEligibility,
} from '../../decisions/target-eligibility/index.js';

export type AvoidedTargetsOptions = {
	readonly directory: Pick<TargetDirectory, 'usable'>;
	readonly detector: Pick<OutlierDetector, 'excluded'>;
	readonly eligibility: Pick<TargetEligibility, 'isInAllowedRegion'>;
	readonly standings: Pick<ServiceStandings, 'leftOutIds'>;
};

/**
 * Largest fraction of a service's engines that are avoided because the outlier detector excludes them.
 * The detector sees only the requests of this VM; if it excludes more engines, none is avoided.
 */
const maxExcludedFraction = 0.5;

/**
 * Creates the list of the engines of a service that a request of this VM is not placed at, by their ids: those
 * that may not be used, and those that the outlier detector excludes.
 */
export const createAvoidedTargets =
	({directory, detector, eligibility, standings}: AvoidedTargetsOptions) =>
	(service: string, allowedRegions: AllowedRegions): readonly string[] => {
		const allowed = directory
			.usable(service)
			.filter(({entry}) =>
				eligibility.isInAllowedRegion(entry, allowedRegions),
			);
		const outliers = detector.excluded(service);
		const excluded =
			allowedRegions === undefined
				? [...outliers]
				: allowed.map(({entry}) => entry.id).filter((id) => outliers.has(id));
		const leftOutIds = standings.leftOutIds(service, allowedRegions);
		return excluded.length > allowed.length * maxExcludedFraction
			? leftOutIds
			: [...excluded, ...leftOutIds];
	};
