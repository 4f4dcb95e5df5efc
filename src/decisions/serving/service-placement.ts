import type {RandomSource} from '../../common/index.js';

/** A target of a plain service. */
export type ServiceCandidate = {
	readonly targetId: string;
	readonly availabilityZone: string;
	readonly slotCount: number;
	/** Open calls of this VM to the target. */
	readonly openCount: number;
	/** True if the target has recently failed or been slow. */
	readonly isSuspect: boolean;
	/** True if the call should not use the target by the evidence of the fleet. */
	readonly isAvoided: boolean;
};

/** Fraction of used slots below which a target in the VM's own availability zone is preferred. */
const ownZoneFraction = 0.5;

/**
 * Chooses the target with the smallest fraction of its slots in use by this VM, with a penalty for
 * suspect targets and a larger one for those that the fleet avoids. A target in the VM's own availability zone is preferred while less than half of its
 * slots are in use, since traffic between zones is expensive.
 * @param avoid - ids of targets that were already tried
 */
export function chooseServiceTarget(
	candidates: readonly ServiceCandidate[],
	ownZone: string,
	avoid: ReadonlySet<string>,
	random: RandomSource,
): ServiceCandidate | undefined {
	let best: ServiceCandidate | undefined;
	let bestCost = Infinity;
	for (const candidate of candidates) {
		if (avoid.has(candidate.targetId)) {
			continue;
		}

		const utilization = candidate.openCount / candidate.slotCount;
		const isOwnZonePreferred =
			candidate.availabilityZone === ownZone && utilization < ownZoneFraction;
		const cost =
			(isOwnZonePreferred ? utilization : 1 + utilization) +
			(candidate.isSuspect ? 10 : 0) +
			(candidate.isAvoided ? 20 : 0) +
			random.nextUnit() * 0.1;
		if (cost < bestCost) {
			bestCost = cost;
			best = candidate;
		}
	}

	return best;
}
