import type {RandomSource} from '../../common/index.js';

/** A target of a plain service. */
export type ServiceCandidate = {
	readonly targetId: string;
	readonly availabilityZone: string;
	readonly slotCount: number;
	/** Requests of all VMs under way there. */
	readonly openCount: number;
	/** True if it failed or was slow of late. */
	readonly isSuspect: boolean;
};

/** Part of the slots up to which a target of the own zone is preferred. */
const ownZonePart = 0.5;

/**
 * Chooses the target with the least load for its size. A target of the own zone goes first while it
 * has slots to spare, since bytes between zones are dear.
 * @param avoid - targets that have had the request
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

		const part = candidate.openCount / candidate.slotCount;
		const isNear = candidate.availabilityZone === ownZone && part < ownZonePart;
		const cost =
			(isNear ? part : 1 + part) +
			(candidate.isSuspect ? 10 : 0) +
			random.nextUnit() * 0.1;
		if (cost < bestCost) {
			bestCost = cost;
			best = candidate;
		}
	}

	return best;
}
