/** Constants of admission and placement; docs/MEASUREMENTS.md records the runs behind them. */
export type RoutingTuning = {
	/** Safety margin of the forecast memory peak of an engine, in standard deviations. */
	readonly marginDeviations: number;
	/** The same for accounts with floor priority, whose streams preempt others if necessary. */
	readonly floorMarginDeviations: number;
	/** Factor on the floor below which an account has floor priority; covers short-term variation. */
	readonly floorSlack: number;
	/**
	 * Length of the turns in which VMs send prompts to a loaded engine, in milliseconds. Prompts that reach
	 * an engine together are computed in one step, which stalls its streams. 0 disables turns.
	 */
	readonly prefillTurnMs: number;
	/** Forecast memory fraction of an engine from which VMs take turns. */
	readonly prefillTurnMinFraction: number;
	/**
	 * Waiting time after which a request of an account behind its floor may preempt others, in milliseconds.
	 */
	readonly preemptAfterWaitMs: number;
	/**
	 * Memory fraction that the forecast peak may fill. The rest covers requests of peers not yet reported.
	 */
	readonly memoryLimit: number;
	/** Memory fraction of an engine kept free for each of its recent preemptions. */
	readonly preemptionReserve: number;
	/** Memory fraction of an engine reserved for accounts with floor priority. */
	readonly floorReserve: number;
	/** Time to compute one prompt token, in milliseconds. */
	readonly prefillPerTokenMs: number;
	/** Gap between tokens beyond which a stream counts as stalled, in milliseconds. */
	readonly stallTimeThresholdMs: number;
	/** Engines whose cost exceeds the lowest by up to this fraction count as equal. */
	readonly equalCostTolerance: number;
	/** One-way latency to another availability zone, in milliseconds. */
	readonly crossZoneLatencyMs: number;
	/** Largest number of waiting requests on one VM. */
	readonly maxQueueLength: number;
};

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
