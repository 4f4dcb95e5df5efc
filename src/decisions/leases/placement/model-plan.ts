import {stableHash} from '../lease-ranking.js';
import type {
	EngineView,
	ModelDemand,
	ReplicaHistory,
	ModelSettings,
	PlacementSettings,
	PlannedCommand,
} from './types.js';

/** Input of a plan. */
export type ModelPlanInput = {
	readonly models: ReadonlyMap<string, ModelSettings>;
	readonly demand: ReadonlyMap<string, ModelDemand>;
	readonly engines: readonly EngineView[];
	/** Result of the previous plan. */
	readonly history: ReadonlyMap<string, ReplicaHistory>;
	readonly settings: PlacementSettings;
	/** True for targets to which this VM may issue a command now. */
	readonly isAvailable: (targetId: string) => boolean;
	readonly nowMs: number;
};

/** Result of a plan. */
export type ModelPlan = {
	readonly commands: readonly PlannedCommand[];
	/** Input of the next plan. */
	readonly history: ReadonlyMap<string, ReplicaHistory>;
};

const noDemand: ModelDemand = {tokensPerSecond: 0, queueLength: 0};

/** True if a model must keep at least one replica. */
export function needsReplica(
	demand: ModelDemand,
	settings: ModelSettings,
): boolean {
	return (
		settings.minCopies > 0 ||
		demand.tokensPerSecond > 0 ||
		demand.queueLength > 0
	);
}

/** True if the load report of an engine is recent and the engine is not leaving. */
export function isLive(
	engine: EngineView,
	nowMs: number,
	settings: PlacementSettings,
): boolean {
	return !engine.leaving && nowMs - engine.seenMs <= settings.staleAfterMs;
}

function neededReplicas(
	demand: ModelDemand,
	model: ModelSettings,
	load: number,
): number {
	const forTokens = demand.tokensPerSecond / model.tokensPerSecondPerCopy;
	const forQueue = Math.floor(demand.queueLength / model.queuePerCopy);
	const needed = Math.ceil(forTokens / load) + forQueue;
	const least = Math.max(model.minCopies, needsReplica(demand, model) ? 1 : 0);
	return Math.min(model.maxCopies, Math.max(least, needed));
}

/**
 * Returns the wanted number of replicas, with hysteresis: it grows as soon as the load of the current
 * replicas exceeds `growAtLoad` and shrinks only if the load of the remaining ones would stay below
 * `shrinkAtLoad`. Without the gap between the two thresholds, VMs with slightly different values would
 * undo each other's commands.
 */
export function wantedReplicas(
	replicaCount: number,
	demand: ModelDemand,
	model: ModelSettings,
	settings: PlacementSettings,
): number {
	const toGrow = neededReplicas(demand, model, settings.growAtLoad);
	const toShrink = neededReplicas(demand, model, settings.shrinkAtLoad);
	return Math.min(Math.max(replicaCount, toGrow), toShrink);
}

function updateHistory(
	previous: ReplicaHistory | undefined,
	replicaCount: number,
	wanted: number,
	nowMs: number,
): ReplicaHistory {
	const isUnchanged = previous?.replicaCount === replicaCount;
	return {
		replicaCount,
		changedMs: isUnchanged ? previous.changedMs : nowMs,
		missingSinceMs:
			wanted > replicaCount
				? ((isUnchanged ? previous.missingSinceMs : undefined) ?? nowMs)
				: undefined,
		surplusSinceMs:
			wanted < replicaCount
				? ((isUnchanged ? previous.surplusSinceMs : undefined) ?? nowMs)
				: undefined,
	};
}

function countByZone(engines: readonly EngineView[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {target} of engines) {
		const zone = target.availabilityZone;
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return counts;
}

type Ranking = {
	readonly model: string;
	/** Replicas by availability zone. */
	readonly zones: ReadonlyMap<string, number>;
	/** 1 prefers zones with few replicas and engines with few models, -1 those with many. */
	readonly direction: 1 | -1;
};

function compareEngines(
	ranking: Ranking,
	a: EngineView,
	b: EngineView,
): number {
	const zoneReplicas = (view: EngineView) =>
		ranking.zones.get(view.target.availabilityZone) ?? 0;
	const tieBreaker = (view: EngineView) =>
		stableHash(`${ranking.model} ${view.target.id}`);
	return (
		ranking.direction * (zoneReplicas(a) - zoneReplicas(b)) ||
		a.models.length * ranking.direction - b.models.length * ranking.direction ||
		ranking.direction * (tieBreaker(a) - tieBreaker(b))
	);
}

/**
 * Plans at most one command for each model, among the targets to which this VM may issue one. Every
 * VM ranks all engines in the same way and sends commands only to targets whose lease it holds, so no
 * VM coordinates the others. If the holder of the first engine's lease does not act, the next engine of
 * the ranking becomes a candidate as well after each `stepInMs`.
 */
export function planModels(input: ModelPlanInput): ModelPlan {
	const {settings, nowMs} = input;
	const live = input.engines.filter((one) => isLive(one, nowMs, settings));
	const history = new Map<string, ReplicaHistory>();
	const commands: PlannedCommand[] = [];
	const chosenIds = new Set<string>();

	const chooseEngine = (
		candidates: readonly EngineView[],
		ranking: Ranking,
		count: number,
		sinceMs: number,
	): EngineView | undefined => {
		const extraCount = Math.floor((nowMs - sinceMs) / settings.stepInMs);
		return [...candidates]
			.sort((a, b) => compareEngines(ranking, a, b))
			.slice(0, count + extraCount)
			.find(
				({target}) => !chosenIds.has(target.id) && input.isAvailable(target.id),
			);
	};

	for (const [model, modelSettings] of input.models) {
		const replicas = live.filter((one) => one.models.includes(model));
		const demand = input.demand.get(model) ?? noDemand;
		const wanted = wantedReplicas(
			replicas.length,
			demand,
			modelSettings,
			settings,
		);
		const current = updateHistory(
			input.history.get(model),
			replicas.length,
			wanted,
			nowMs,
		);
		history.set(model, current);
		const zones = countByZone(replicas);
		const addCommand = (
			kind: PlannedCommand['kind'],
			engine: EngineView | undefined,
		) => {
			if (engine) {
				chosenIds.add(engine.target.id);
				commands.push({
					targetId: engine.target.id,
					kind,
					model,
					version: modelSettings.version,
					cause: `${replicas.length} copies, ${wanted} wanted at ${Math.round(demand.tokensPerSecond)} tokens/s and ${Math.round(demand.queueLength)} waiting`,
				});
			}
		};

		if (current.missingSinceMs !== undefined) {
			const candidates = live.filter(
				(one) =>
					one.target.models.includes(model) && !one.models.includes(model),
			);
			const ranking: Ranking = {model, zones, direction: 1};
			addCommand(
				'load-model',
				chooseEngine(candidates, ranking, 1, current.missingSinceMs),
			);
		} else if (
			current.surplusSinceMs !== undefined &&
			nowMs - current.surplusSinceMs >= settings.minDwellMs &&
			nowMs - current.changedMs >= settings.minDwellMs
		) {
			const ranking: Ranking = {model, zones, direction: -1};
			const dueMs = current.surplusSinceMs + settings.minDwellMs;
			addCommand('unload-model', chooseEngine(replicas, ranking, 1, dueMs));
		}
	}

	return {commands, history};
}
