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
	readonly history: ReadonlyMap<string, ReplicaHistory>;
	readonly settings: PlacementSettings;
	/** True for targets to which this VM may give a command now. */
	readonly isAvailable: (targetId: string) => boolean;
	readonly nowMs: number;
};

/** Result of a plan. */
export type ModelPlan = {
	readonly commands: readonly PlannedCommand[];
	readonly memory: ReadonlyMap<string, ReplicaHistory>;
};

const noDemand: ModelDemand = {tokensPerSecond: 0, queueLength: 0};

/** True if the copies of a model may not go down to none. */
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

/** True if an engine was seen recently and is not leaving. */
export function isLive(
	engine: EngineView,
	nowMs: number,
	settings: PlacementSettings,
): boolean {
	return !engine.leaving && nowMs - engine.seenMs <= settings.staleAfterMs;
}

function neededCopies(
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
 * Copies wanted: more as soon as the present ones are loaded above one mark, fewer only when the
 * rest would stay below a lower mark. Between the marks nothing changes, so that VMs whose figures
 * differ a little do not undo each other's commands.
 */
export function wantedReplicas(
	copyCount: number,
	demand: ModelDemand,
	model: ModelSettings,
	settings: PlacementSettings,
): number {
	const toGrow = neededCopies(demand, model, settings.growAtLoad);
	const toShrink = neededCopies(demand, model, settings.shrinkAtLoad);
	return Math.min(Math.max(copyCount, toGrow), toShrink);
}

function remember(
	memory: ReplicaHistory | undefined,
	replicaCount: number,
	wanted: number,
	nowMs: number,
): ReplicaHistory {
	const unchanged = memory?.replicaCount === replicaCount;
	return {
		replicaCount,
		changedMs: unchanged ? memory.changedMs : nowMs,
		missingSinceMs:
			wanted > replicaCount
				? ((unchanged ? memory.missingSinceMs : undefined) ?? nowMs)
				: undefined,
		surplusSinceMs:
			wanted < replicaCount
				? ((unchanged ? memory.surplusSinceMs : undefined) ?? nowMs)
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
	readonly zones: ReadonlyMap<string, number>;
	/** 1 prefers zones with few copies, -1 those with many. */
	readonly direction: 1 | -1;
};

function compare(ranking: Ranking, a: EngineView, b: EngineView): number {
	const copies = (view: EngineView) =>
		ranking.zones.get(view.target.availabilityZone) ?? 0;
	const tie = (view: EngineView) =>
		stableHash(`${ranking.model} ${view.target.id}`);
	return (
		ranking.direction * (copies(a) - copies(b)) ||
		a.models.length * ranking.direction - b.models.length * ranking.direction ||
		ranking.direction * (tie(a) - tie(b))
	);
}

/**
 * Chooses commands for the targets to which this VM may give one. Every VM ranks all engines in the
 * same way and acts only on its own, so no VM is special; when the first candidate's holder does not
 * act, the next candidate steps in after a while.
 */
export function planModels(input: ModelPlanInput): ModelPlan {
	const {settings, nowMs} = input;
	const live = input.engines.filter((one) => isLive(one, nowMs, settings));
	const memory = new Map<string, ReplicaHistory>();
	const commands: PlannedCommand[] = [];
	const taken = new Set<string>();

	const choose = (
		candidates: readonly EngineView[],
		ranking: Ranking,
		count: number,
		sinceMs: number,
	): EngineView | undefined => {
		const steps = Math.floor((nowMs - sinceMs) / settings.stepInMs);
		return [...candidates]
			.sort((a, b) => compare(ranking, a, b))
			.slice(0, count + steps)
			.find(
				({target}) => !taken.has(target.id) && input.isAvailable(target.id),
			);
	};

	for (const [model, modelSettings] of input.models) {
		const holders = live.filter((one) => one.models.includes(model));
		const demand = input.demand.get(model) ?? noDemand;
		const wanted = wantedReplicas(
			holders.length,
			demand,
			modelSettings,
			settings,
		);
		const now = remember(
			input.history.get(model),
			holders.length,
			wanted,
			nowMs,
		);
		memory.set(model, now);
		const zones = countByZone(holders);
		const add = (
			kind: PlannedCommand['kind'],
			engine: EngineView | undefined,
		) => {
			if (engine) {
				taken.add(engine.target.id);
				commands.push({
					targetId: engine.target.id,
					kind,
					model,
					version: modelSettings.version,
					cause: `${holders.length} copies, ${wanted} wanted at ${Math.round(demand.tokensPerSecond)} tokens/s and ${Math.round(demand.queueLength)} waiting`,
				});
			}
		};

		if (now.missingSinceMs !== undefined) {
			const candidates = live.filter(
				(one) =>
					one.target.models.includes(model) && !one.models.includes(model),
			);
			const ranking: Ranking = {model, zones, direction: 1};
			add('load-model', choose(candidates, ranking, 1, now.missingSinceMs));
		} else if (
			now.surplusSinceMs !== undefined &&
			nowMs - now.surplusSinceMs >= settings.minDwellMs &&
			nowMs - now.changedMs >= settings.minDwellMs
		) {
			const ranking: Ranking = {model, zones, direction: -1};
			const dueMs = now.surplusSinceMs + settings.minDwellMs;
			add('unload-model', choose(holders, ranking, 1, dueMs));
		}
	}

	return {commands, memory};
}
