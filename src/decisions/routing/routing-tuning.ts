/** Constants of admission and placement; docs/MEASUREMENTS.md records the runs behind them. */
export type RoutingTuning = {
	/** Standard deviations that the forecast peak of an engine stays below its memory. */
	readonly marginDeviations: number;
	/** Part of an engine's memory that only accounts below their floor may fill. */
	readonly floorReserve: number;
	/** Cost of computing one prompt token, in milliseconds. */
	readonly prefillPerTokenMs: number;
	/** Gap between tokens beyond which a stream counts as stalled, in milliseconds. */
	readonly stallThresholdMs: number;
	/** Engines whose cost is this part above the lowest count as equal. */
	readonly equalCostPart: number;
	/** One-way latency to another availability zone, in milliseconds. */
	readonly otherZoneMs: number;
	/** Requests that may wait on one VM. */
	readonly maxQueueLength: number;
};

/** Constants in use. */
export const defaultRoutingTuning: RoutingTuning = {
	marginDeviations: 1,
	floorReserve: 0.05,
	prefillPerTokenMs: 0.05,
	stallThresholdMs: 250,
	equalCostPart: 0.05,
	otherZoneMs: 1,
	maxQueueLength: 2000,
};
