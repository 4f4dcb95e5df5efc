import type {TargetEntry} from '../../common/index.js';
import type {
	TargetStanding,
	TargetStatements,
} from '../target-statements/index.js';
import type {AllowedRegions} from './allowed-regions.js';
import type {ColdTargets} from './cold-targets.js';
import type {EvacuatedZones} from './evacuated-zones.js';

/**
 * Decides whether this VM may send a request to a target now, by what the target has said of itself and by
 * what the operator has asked. Everything that chooses a target or sends to one asks here.
 */
export type TargetEligibility = {
	/** `requestsPerSecond` is the lower of the limit that the target has stated and that of a cold target. */
	standingOf(target: TargetEntry): TargetStanding;
	/** Requests per second that the target may get from all VMs together; undefined without a limit. */
	limitOf(targetId: string): number | undefined;
	/** True if the limit is that of a cold target, which ends soon, and the target has stated none. */
	isOnlyCold(targetId: string): boolean;
	/**
	 * True if the target is in an allowed region; for a restricted request, the region of its availability zone has
	 * to be known.
	 */
	isInAllowedRegion(
		target: TargetEntry,
		allowedRegions: AllowedRegions,
	): boolean;
	/** True if nothing may be sent to the target since its availability zone is evacuated. */
	isEvacuated(target: TargetEntry): boolean;
};

export type TargetEligibilityOptions = {
	readonly statements: Pick<TargetStatements, 'rateLimits' | 'standingOf'>;
	readonly evacuatedZones: Pick<EvacuatedZones, 'isEvacuated'>;
	readonly coldTargets: Pick<ColdTargets, 'limitOf'>;
	/** Regions of the availability zones, by the name of the zone. */
	readonly regions: ReadonlyMap<string, string>;
};

export function createTargetEligibility({
	statements,
	evacuatedZones,
	coldTargets,
	regions,
}: TargetEligibilityOptions): TargetEligibility {
	const isEvacuated = ({availabilityZone}: TargetEntry) =>
		evacuatedZones.isEvacuated(availabilityZone);

	const statedLimitOf = (targetId: string) =>
		statements.rateLimits.limitOf(targetId);
	const limitOf = (targetId: string) => {
		const statedLimit = statedLimitOf(targetId);
		const coldLimit = coldTargets.limitOf(targetId);
		return statedLimit === undefined || coldLimit === undefined
			? (statedLimit ?? coldLimit)
			: Math.min(statedLimit, coldLimit);
	};

	return {
		isEvacuated,
		isInAllowedRegion({availabilityZone}, allowedRegions) {
			const region = regions.get(availabilityZone);
			return (
				allowedRegions === undefined ||
				(region !== undefined && allowedRegions.has(region))
			);
		},
		limitOf,
		isOnlyCold: (targetId) =>
			statedLimitOf(targetId) === undefined &&
			coldTargets.limitOf(targetId) !== undefined,
		standingOf(target) {
			const standing = {
				...statements.standingOf(target),
				requestsPerSecond: limitOf(target.id),
			};
			return isEvacuated(target)
				? {...standing, use: 'none', cause: 'evacuated', waitMs: Infinity}
				: standing;
		},
	};
}
