import type {
	CacheEvent,
	LoadReport,
	TargetActivity,
	TargetDescription,
} from '../../common/index.js';
import {type CacheAffinity, createCacheAffinity} from './cache-affinity.js';
import {createEngineLoad, type EngineLoad} from './engine-load.js';

/** One engine as this VM knows it. */
export type EngineState = {
	readonly id: string;
	readonly load: EngineLoad;
	readonly affinity: CacheAffinity;
	/** Place in the order of names, from 0. */
	index: number;
	readonly availabilityZone: string;
	models: ReadonlySet<string>;
	leaving: boolean;
	/** Monotonic time until which the engine gets no new work, in milliseconds. */
	ejectedUntilMs: number;
	prefillBusyUntilMs: number;
};

/** Engines by id and model. */
export type EngineTable = {
	readonly peerCount: number;
	/** Place of a VM in the order of the names of this VM's peers, from 0. */
	rankOf(vmName: string): number;
	get(targetId: string): EngineState | undefined;
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
	knows(model: string): boolean;
	markLeaving(targetId: string): void;
	eject(targetId: string, untilMs: number): void;
	noteReport(targetId: string, report: LoadReport, nowMs: number): void;
	noteCacheEvents(
		targetId: string,
		events: readonly CacheEvent[],
		nowMs: number,
	): void;
	/**
	 * Takes in what a peer has running; targets that it leaves out are idle for it.
	 * @param atMs - own monotonic time for which the activity holds
	 */
	noteActivity(
		peer: string,
		activity: readonly TargetActivity[],
		atMs: number,
	): void;
	forgetPeer(peer: string): void;
	activity(): readonly TargetActivity[];
};

/** Creates an empty table. */
export function createEngineTable(): EngineTable {
	const engines = new Map<string, EngineState>();
	const byModel = new Map<string, EngineState[]>();
	const peers = new Set<string>();

	const reindex = () => {
		byModel.clear();
		const ids = [...engines.keys()].sort();
		for (const [index, id] of ids.entries()) {
			const engine = engines.get(id)!;
			engine.index = index;
			for (const model of engine.models) {
				const list = byModel.get(model) ?? [];
				list.push(engine);
				byModel.set(model, list);
			}
		}
	};

	const rankOf = (vmName: string) => {
		let rank = 0;
		for (const peer of peers) {
			rank += Number(peer < vmName);
		}

		return rank;
	};

	const markLeaving = (targetId: string) => {
		const engine = engines.get(targetId);
		if (engine) {
			engine.leaving = true;
		}
	};

	return {
		get peerCount() {
			return peers.size;
		},
		rankOf(vmName) {
			return rankOf(vmName);
		},
		get(targetId) {
			return engines.get(targetId);
		},
		all() {
			return engines.values();
		},
		update(descriptions) {
			for (const id of engines.keys()) {
				if (descriptions.get(id)?.kind !== 'engine') {
					engines.delete(id);
				}
			}

			for (const [id, {kind, availabilityZone, models}] of descriptions) {
				const known = engines.get(id);
				if (known) {
					known.models = new Set(models);
				} else if (kind === 'engine') {
					engines.set(id, {
						id,
						load: createEngineLoad(),
						affinity: createCacheAffinity(),
						index: 0,
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
		knows(model) {
			return byModel.has(model);
		},
		markLeaving,
		eject(targetId, untilMs) {
			const engine = engines.get(targetId);
			if (engine) {
				engine.ejectedUntilMs = untilMs;
			}
		},
		noteReport(targetId, report, nowMs) {
			engines.get(targetId)?.load.noteReport(report, nowMs);
			if (report.leaving) {
				markLeaving(targetId);
			}
		},
		noteCacheEvents(targetId, events, nowMs) {
			engines.get(targetId)?.affinity.note(events, nowMs);
		},
		noteActivity(peer, activity, atMs) {
			peers.add(peer);
			const byTarget = new Map(activity.map((one) => [one.targetId, one]));
			for (const engine of engines.values()) {
				engine.load.noteActivity(peer, byTarget.get(engine.id), atMs);
			}
		},
		forgetPeer(peer) {
			peers.delete(peer);
			for (const engine of engines.values()) {
				engine.load.noteActivity(peer, undefined, 0);
			}
		},
		activity() {
			return [...engines.values()].map((engine) =>
				engine.load.activity(engine.id),
			);
		},
	};
}
