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

/** Fraction of used slots below which a target in the preferred availability zone is chosen before others. */
const preferredZoneFraction = 0.5;

/**
 * Chooses the target with the smallest fraction of its slots in use by this VM, with a penalty for
 * suspect targets and a larger one for those that the fleet avoids. A target in the preferred zone goes first
 * while less than half of its slots are in use.
 * @param preferredZone - the VM's own availability zone, since traffic between zones is expensive, or the one
 * to which this call goes by the shares of the zones
 * @param avoid - ids of targets that were already tried
 */
export function chooseServiceTarget(
	candidates: readonly ServiceCandidate[],
	preferredZone: string,
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
		const isPreferred =
			candidate.availabilityZone === preferredZone &&
			utilization < preferredZoneFraction;
		const cost =
			(isPreferred ? utilization : 1 + utilization) +
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
