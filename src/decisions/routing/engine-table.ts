import type {
	CacheEvent,
	LoadReport,
	TargetActivity,
	TargetDescription,
} from '../../common/index.js';
import {
	type PrefixCacheEstimate,
	createPrefixCacheEstimate,
} from './prefix-cache-estimate.js';
import {createPrefixIndex, type PrefixRow} from './prefix-index.js';
import {createEngineLoad, type EngineLoad} from './engine-load.js';

/** One engine as this VM knows it. */
export type EngineState = {
	readonly id: string;
	readonly load: EngineLoad;
	readonly affinity: PrefixCacheEstimate;
	/** Place in the rows of the prefix index. */
	readonly slot: number;
	/** Place in the order of names, from 0. */
	rank: number;
	readonly availabilityZone: string;
	models: ReadonlySet<string>;
	leaving: boolean;
	/** Monotonic time until which the engine gets no new work, in milliseconds. */
	ejectedUntilMs: number;
	prefillBusyUntilMs: number;
};

/** Engines by id and model. */
export type EngineTable = {
	get(targetId: string): EngineState | undefined;
	/** What is believed of the prefixes of a prompt. */
	prefixRows(prefixHashes: readonly string[]): readonly PrefixRow[];
	all(): Iterable<EngineState>;
	/** Replaces the descriptions, keeping what is known of engines that stay. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** Engines for a model that take new work. */
	usable(
		model: string,
		nowMs: number,
		avoidTargetId?: string,
	): readonly EngineState[];
	/** True if some engine offers the model, whether or not it takes work now. */
	offersModel(model: string): boolean;
	markLeaving(targetId: string): void;
	markReturned(targetId: string): void;
	eject(targetId: string, untilMs: number): void;
	recordReport(targetId: string, report: LoadReport, nowMs: number): void;
	recordCacheEvents(
		targetId: string,
		events: readonly CacheEvent[],
		nowMs: number,
	): void;
	/**
	 * Takes in what a peer has running; targets that it leaves out are idle for it.
	 * @param atMs - own monotonic time for which the activity holds
	 */
	recordActivity(
		peer: string,
		activity: readonly TargetActivity[],
		atMs: number,
	): void;
	removePeer(peer: string): void;
	ownActivity(): readonly TargetActivity[];
};

/** Creates an empty table. */
export function createEngineTable(): EngineTable {
	const engines = new Map<string, EngineState>();
	const prefixes = createPrefixIndex();
	const freeSlots: number[] = [];
	let slotCount = 0;
	const byModel = new Map<string, EngineState[]>();

	const reindex = () => {
		byModel.clear();
		const ids = [...engines.keys()].sort();
		for (const [index, id] of ids.entries()) {
			const engine = engines.get(id)!;
			engine.rank = index;
			for (const model of engine.models) {
				const list = byModel.get(model) ?? [];
				list.push(engine);
				byModel.set(model, list);
			}
		}
	};

	const markLeaving = (targetId: string) => {
		const engine = engines.get(targetId);
		if (engine) {
			engine.leaving = true;
		}
	};

	return {
		prefixRows(prefixHashes) {
			return prefixes.rowsOf(prefixHashes);
		},
		get(targetId) {
			return engines.get(targetId);
		},
		all() {
			return engines.values();
		},
		update(descriptions) {
			for (const [id, engine] of engines) {
				if (descriptions.get(id)?.kind !== 'engine') {
					engine.affinity.clear();
					freeSlots.push(engine.slot);
					engines.delete(id);
				}
			}

			for (const [id, {kind, availabilityZone, models}] of descriptions) {
				const known = engines.get(id);
				if (known) {
					known.models = new Set(models);
				} else if (kind === 'engine') {
					const slot = freeSlots.pop() ?? slotCount++;
					engines.set(id, {
						id,
						load: createEngineLoad(),
						affinity: createPrefixCacheEstimate(prefixes, slot),
						slot,
						rank: 0,
						availabilityZone,
						models: new Set(models),
						leaving: false,
						ejectedUntilMs: 0,
						prefillBusyUntilMs: 0,
					});
				}
			}

			reindex();
		},
		usable(model, nowMs, avoidTargetId) {
			const list = byModel.get(model) ?? [];
			const takesWork = (engine: EngineState) =>
				!engine.leaving && engine.ejectedUntilMs <= nowMs;
			const usable = list.every((one) => takesWork(one))
				? list
				: list.filter((one) => takesWork(one));
			const others = avoidTargetId
				? usable.filter((engine) => engine.id !== avoidTargetId)
				: usable;
			return others.length > 0 ? others : usable;
		},
		offersModel(model) {
			return byModel.has(model);
		},
		markLeaving,
		markReturned(targetId) {
			const engine = engines.get(targetId);
			if (engine) {
				engine.leaving = false;
			}
		},
		eject(targetId, untilMs) {
			const engine = engines.get(targetId);
			if (engine) {
				engine.ejectedUntilMs = untilMs;
			}
		},
		recordReport(targetId, report, nowMs) {
			engines.get(targetId)?.load.recordReport(report, nowMs);
			if (report.leaving) {
				markLeaving(targetId);
			}
		},
		recordCacheEvents(targetId, events, nowMs) {
			engines.get(targetId)?.affinity.recordEvents(events, nowMs);
		},
		recordActivity(peer, activity, atMs) {
			const byTarget = new Map(activity.map((one) => [one.targetId, one]));
			for (const engine of engines.values()) {
				engine.load.recordActivity(peer, byTarget.get(engine.id), atMs);
			}
		},
		removePeer(peer) {
			for (const engine of engines.values()) {
				engine.load.recordActivity(peer, undefined, 0);
			}
		},
		ownActivity() {
			return [...engines.values()].map((engine) =>
				engine.load.ownActivity(engine.id),
			);
		},
	};
}
