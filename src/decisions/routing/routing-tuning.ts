/** Constants of admission and placement; docs/MEASUREMENTS.md records the runs behind them. */
export type RoutingTuning = {
	/** Standard deviations that the forecast peak of an engine stays below its memory. */
	readonly marginDeviations: number;
	/** The same for accounts below their floor, whose streams displace others if need be. */
	readonly floorMarginDeviations: number;
	/** Factor on the floor up to which an account counts as below it, against short-term variation. */
	readonly floorSlack: number;
	/**
	 * Length of the turns in which VMs send waiting prompts to an engine, in milliseconds. Prompts that
	 * reach an engine together are computed in one step and stall its streams. 0 takes no turns.
	 */
	readonly prefillTurnMs: number;
	/** Part of an engine's memory from which on its prompts are sent in turns. */
	readonly prefillTurnMinFraction: number;
	/** Wait after which a request displaces others if its account is behind its floor, in milliseconds. */
	readonly preemptAfterWaitMs: number;
	/** Part of an engine's memory that its forecast peak may fill. The rest covers what peers sent unseen. */
	readonly memoryLimit: number;
	/** Part of an engine's memory that stays free for a while for each preemption seen there. */
	readonly preemptionReserve: number;
	/** Part of an engine's memory that only accounts below their floor may fill. */
	readonly floorReserve: number;
	/** Cost of computing one prompt token, in milliseconds. */
	readonly prefillPerTokenMs: number;
	/** Gap between tokens beyond which a stream counts as stalled, in milliseconds. */
	readonly stallTimeThresholdMs: number;
	/** Engines whose cost is this part above the lowest count as equal. */
	readonly equalCostTolerance: number;
	/** One-way latency to another availability zone, in milliseconds. */
	readonly crossZoneLatencyMs: number;
	/** Requests that may wait on one VM. */
	readonly maxQueueLength: number;
};

/** Constants in use. */
export const defaultRoutingTuning: RoutingTuning = {
	marginDeviations: 2.5,
	floorMarginDeviations: 2,
	floorSlack: 1.2,
	prefillTurnMs: 200,
	prefillTurnMinFraction: 0.8,
	preemptAfterWaitMs: 1000,
	memoryLimit: 0.97,
	preemptionReserve: 0.01,
	floorReserve: 0.03,
	prefillPerTokenMs: 0.05,
	stallTimeThresholdMs: 250,
	equalCostTolerance: 0.05,
	crossZoneLatencyMs: 1,
	maxQueueLength: 2000,
};
