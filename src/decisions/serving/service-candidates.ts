import type {AvoidedTargets} from '../fleet-health/index.js';
import type {OutlierDetector} from '../retries/index.js';
import type {AllowedRegions} from '../target-eligibility/index.js';
import type {TargetUse} from '../target-statements/index.js';
import type {ServiceCandidate} from './service-placement.js';
import type {ServiceStandings} from './service-standings.js';

/** The call for which a target is chosen. */
export type CandidateQuery = {
	readonly service: string;
	readonly allowedRegions: AllowedRegions;
	/** Ids of targets that were already tried. */
	readonly avoid: ReadonlySet<string>;
	readonly isIdempotent: boolean;
};

export type ServiceCandidatesOptions = {
	readonly detector: Pick<OutlierDetector, 'excluded'>;
	readonly avoidedTargets: Pick<AvoidedTargets, 'draw' | 'isAvoided'>;
	readonly standings: Pick<ServiceStandings, 'withUse'>;
	/** Open calls of this VM to a target. */
	readonly openCount: (targetId: string) => number;
};

/** Lists the targets of a service with a certain use, as the choice for one call sees them. */
export function serviceCandidates(
	{service, allowedRegions, avoid, isIdempotent}: CandidateQuery,
	use: TargetUse,
	options: ServiceCandidatesOptions,
): readonly ServiceCandidate[] {
	const excluded = options.detector.excluded(service);
	const candidates = options.standings
		.withUse(service, use, allowedRegions)
		.map((entry) => ({
			targetId: entry.id,
			availabilityZone: entry.availabilityZone,
			slotCount: entry.slotCount,
			openCount: options.openCount(entry.id),
			// While the fleet judges a target, it decides how many calls the target gets.
			isSuspect:
				excluded.has(entry.id) && !options.avoidedTargets.isAvoided(entry.id),
		}));
	const avoided = options.avoidedTargets.draw(
		candidates
			.filter(({targetId}) => !avoid.has(targetId))
			.map(({targetId, openCount, slotCount}) => ({
				targetId,
				hasRoom: openCount < slotCount,
			})),
		isIdempotent,
		avoid.size === 0,
	);
	return candidates.map((candidate) => ({
		...candidate,
		isAvoided: avoided.has(candidate.targetId),
	}));
}
