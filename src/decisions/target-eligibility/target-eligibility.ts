import type {TargetEntry} from '../../common/index.js';
import type {
	TargetStanding,
	TargetStatements,
} from '../target-statements/index.js';
import type {EvacuatedZones} from './evacuated-zones.js';

/**
 * Decides whether this VM may send a request to a target now, by what the target has said of itself and by
 * what the operator has asked. Everything that chooses a target or sends to one asks here.
 */
export type TargetEligibility = {
	standingOf(target: TargetEntry): TargetStanding;
	/** True if nothing may be sent to the target since its availability zone is evacuated. */
	isEvacuated(target: TargetEntry): boolean;
};

export type TargetEligibilityOptions = {
	readonly statements: Pick<TargetStatements, 'standingOf'>;
	readonly evacuatedZones: Pick<EvacuatedZones, 'isEvacuated'>;
};

export function createTargetEligibility({
	statements,
	evacuatedZones,
}: TargetEligibilityOptions): TargetEligibility {
	const isEvacuated = ({availabilityZone}: TargetEntry) =>
		evacuatedZones.isEvacuated(availabilityZone);

	return {
		isEvacuated,
		standingOf(target) {
			const standing = statements.standingOf(target);
			return isEvacuated(target)
				? {...standing, use: 'none', cause: 'evacuated', waitMs: Infinity}
				: standing;
		},
	};
}
