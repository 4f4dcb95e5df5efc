import type {EngineView, ModelDemand, ModelSettings} from './types.js';

/**
 * Estimates the demand for each model from the load reports of engines. Reports count the generations
 * of all entry VMs, so every VM plans with the same values. A report does not tell the models of an
 * engine apart, so its generations are divided evenly among them.
 */
export function demandFromReports(
	engines: readonly EngineView[],
	models: ReadonlyMap<string, ModelSettings>,
): ReadonlyMap<string, ModelDemand> {
	const demand = new Map<string, ModelDemand>();
	for (const view of engines) {
		const loaded = view.models.filter((model) => models.has(model));
		for (const model of loaded) {
			const previous = demand.get(model) ?? {
				tokensPerSecond: 0,
				queueLength: 0,
			};
			const tokensPerStream = models.get(model)!.tokensPerSecondPerStream;
			demand.set(model, {
				tokensPerSecond:
					previous.tokensPerSecond +
					(view.runningCount / loaded.length) * tokensPerStream,
				queueLength: previous.queueLength + view.waitingCount / loaded.length,
			});
		}
	}

	return demand;
}
