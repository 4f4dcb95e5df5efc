/** Peers of a VM, by whether they serve the callers of the same zone. */
export type PeerCounts = {
	readonly ownZone: number;
	readonly otherZones: number;
};

/** Intervals at which peers are told of changed load, in milliseconds. */
export type DigestIntervals = {
	readonly ownZoneMs: number;
	readonly otherZonesMs: number;
};

/** From this size on, a fleet is told apart by zones. */
export const manyVms = 16;
/** Keeps the datagrams of a VM at about this interval, however many peers it has, in milliseconds. */
const intervalPerPeerMs = 25;
/** A peer that is silent for a few of these counts as gone, in milliseconds. */
const maxIntervalMs = 2000;

/**
 * Decides how often peers are told. Answers the pattern "many small VMs, each with little of the
 * traffic": telling all of every placement costs more than the placements. VMs of one zone prefer
 * its engines, so they need each other's load at once and that of other zones for the overflow only.
 * @param minIntervalMs - shortest interval, in milliseconds
 */
export function digestIntervals(
	{ownZone, otherZones}: PeerCounts,
	minIntervalMs: number,
): DigestIntervals {
	const perPeer = (count: number) =>
		Math.min(maxIntervalMs, Math.max(minIntervalMs, count * intervalPerPeerMs));
	if (ownZone + otherZones + 1 < manyVms) {
		const all = perPeer(ownZone + otherZones);
		return {ownZoneMs: all, otherZonesMs: all};
	}

	return {ownZoneMs: perPeer(ownZone), otherZonesMs: maxIntervalMs};
}

/** Cost of an engine in another zone while its load is known from digests that are told at once, in milliseconds. */
const nearbyCostMs = 15;
/** The same while its load is known some seconds late, in milliseconds. */
const distantCostMs = 250;

/** Cost of an engine in another zone, for the bytes between zones and for what is not known of it. */
export function otherZoneCostMs(vmCount: number): number {
	return vmCount < manyVms ? nearbyCostMs : distantCostMs;
}
