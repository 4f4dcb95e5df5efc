import type {ZoneShares} from './types.js';

/**
 * Moves shares towards their goal by a bounded step. What zones without usable targets had moves at once.
 * @param goal - shares by zones with usable targets
 * @param maxStep - largest part of the calls that changes its zone, in 0..1
 */
export function stepShares(
	current: ZoneShares,
	goal: ZoneShares,
	maxStep: number,
): ZoneShares {
	let lost = 1;
	for (const zone of goal.keys()) {
		lost -= current.get(zone) ?? 0;
	}

	const changes = new Map<string, number>();
	const kept = new Map<string, number>();
	let moved = 0;
	for (const [zone, share] of goal) {
		const start = (current.get(zone) ?? 0) + lost * share;
		kept.set(zone, start);
		changes.set(zone, share - start);
		moved += Math.abs(share - start) / 2;
	}

	const fraction = moved > maxStep ? maxStep / moved : 1;
	for (const [zone, change] of changes) {
		kept.set(zone, (kept.get(zone) ?? 0) + change * fraction);
	}

	return kept;
}
