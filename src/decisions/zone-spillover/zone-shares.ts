import type {UsableTarget, ZoneDemand, ZoneShares} from './types.js';

/** Use of its slots up to which a zone keeps all its calls and takes those of others. */
const fullUse = 0.7;

/** Calls per second that the targets of each zone can serve with all their slots in use. */
function capacitiesOf(targets: readonly UsableTarget[]): Map<string, number> {
	const capacities = new Map<string, number>();
	for (const {availabilityZone, slotCount, serviceMs} of targets) {
		const perSecond = (slotCount * 1000) / serviceMs;
		const others = capacities.get(availabilityZone) ?? 0;
		capacities.set(availabilityZone, others + perSecond);
	}

	return capacities;
}

function sumOf(values: Iterable<number>): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

/** Use up to which zones are filled: `fullUse`, or the even use of all zones if that is higher. */
function useLevel(
	demand: ZoneDemand,
	capacities: ReadonlyMap<string, number>,
): number {
	const evenUse = sumOf(demand.values()) / sumOf(capacities.values());
	return Math.max(fullUse, evenUse);
}

/** Share of a zone's calls that its own targets cannot take. */
function leavingShare(ownDemand: number, ownCapacity: number, level: number) {
	if (ownCapacity === 0) {
		return 1;
	}

	const excess = ownDemand - level * ownCapacity;
	return excess > 0 ? excess / ownDemand : 0;
}

/**
 * Divides the calls of a zone among the zones with usable targets. Calls leave their zone only if its
 * targets have no room below a use of 0.7, or below the even use of all zones if that is higher, and go to
 * the other zones in proportion to the room that is left there after their own demand.
 * @param demand - calls per second by zone of the caller
 * @param targets - all usable targets of the service
 * @returns empty if there are no targets
 */
export function zoneShares(
	ownZone: string,
	demand: ZoneDemand,
	targets: readonly UsableTarget[],
): ZoneShares {
	const capacities = capacitiesOf(targets);
	if (capacities.size === 0) {
		return new Map();
	}

	const level = useLevel(demand, capacities);
	const ownCapacity = capacities.get(ownZone) ?? 0;
	const leaving = leavingShare(demand.get(ownZone) ?? 0, ownCapacity, level);
	const rooms = new Map<string, number>();
	for (const [zone, capacity] of capacities) {
		const room = level * capacity - (demand.get(zone) ?? 0);
		if (zone !== ownZone && room > 0) {
			rooms.set(zone, room);
		}
	}

	// Without own targets the calls have to leave, also if no other zone has room.
	const isForced = rooms.size === 0 && ownCapacity === 0;
	const weights = isForced ? capacities : rooms;
	const total = sumOf(weights.values());
	const shares = new Map<string, number>();
	for (const [zone, weight] of weights) {
		shares.set(zone, (leaving * weight) / total);
	}

	if (ownCapacity > 0) {
		shares.set(ownZone, 1 - sumOf(shares.values()));
	}

	return shares;
}
