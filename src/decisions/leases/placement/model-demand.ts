import type {EngineView, ModelDemand, ModelSettings} from './types.js';

/**
 * Demand for each model, from the engines' load reports: they count the generations of all entry
 * VMs, so every VM plans with the same figures. An engine that holds several models reports them
 * together; its generations are split evenly among them.
 */
export function demandFromReports(
	engines: readonly EngineView[],
	models: ReadonlyMap<string, ModelSettings>,
): ReadonlyMap<string, ModelDemand> {
	const demand = new Map<string, ModelDemand>();
	for (const view of engines) {
		const held = view.models.filter((model) => models.has(model));
		for (const model of held) {
			const before = demand.get(model) ?? {tokensPerSecond: 0, queueLength: 0};
			const rate = models.get(model)!.tokensPerSecondPerStream;
			demand.set(model, {
				tokensPerSecond:
					before.tokensPerSecond + (view.runningCount / held.length) * rate,
				queueLength: before.queueLength + view.waitingCount / held.length,
			});
		}
	}

	return demand;
}
