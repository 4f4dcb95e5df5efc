/** Target of a plain service that may get calls now. */
export type UsableTarget = {
	readonly availabilityZone: string;
	readonly slotCount: number;
	/** Usual time of a call on the target, in milliseconds. */
	readonly serviceMs: number;
};

/** Calls per second of a service, by the availability zone of the VMs that received them. */
export type ZoneDemand = ReadonlyMap<string, number>;

/** Calls of one service, as one VM has counted them. */
export type CallReport = {
	readonly service: string;
	readonly callsPerSecond: number;
	/** Mean time of the answered calls in milliseconds; undefined before the first answer. */
	readonly serviceMs: number | undefined;
};

/** Demand for a service, summed over the VMs. */
export type ServiceDemand = {
	readonly service: string;
	readonly zones: ZoneDemand;
	/** Usual time of a call, in milliseconds. */
	readonly serviceMs: number;
};

/** Share of calls, in 0..1, by the zone of the target; the shares add up to 1. */
export type ZoneShares = ReadonlyMap<string, number>;
