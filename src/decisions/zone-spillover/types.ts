/** Target of a plain service that may get calls now. */
export type UsableTarget = {
	readonly availabilityZone: string;
	readonly slotCount: number;
	/** Usual time of a call on the target, in milliseconds. */
	readonly serviceMs: number;
};

/** Calls per second of a service, by the availability zone of the VMs that received them. */
export type ZoneDemand = ReadonlyMap<string, number>;

/** Share of calls, in 0..1, by the zone of the target; the shares add up to 1. */
export type ZoneShares = ReadonlyMap<string, number>;
