import type {
	CacheEvent,
	LoadReport,
	TargetDescription,
} from '../../common/index.js';
import {
	createEngineSimulation,
	type EngineSimulation,
	type SimulatedGeneration,
} from '../../standins/engine/index.js';
import type {BenchRequest} from './arrivals.js';
import type {ContractCompliance} from './contract-compliance.js';
import type {Deployment} from './deployments.js';
import type {EventQueue} from './event-queue.js';
import type {Measurements} from './measurements.js';

/** A generation at an engine of the bench. */
export type BenchGeneration = SimulatedGeneration & {
	readonly request: BenchRequest;
	lastTokenMs: number;
	cancelled: boolean;
};

/** Called as generations advance. */
export type FleetListener = {
	onProgress(request: BenchRequest, producedTokens: number): void;
	onFinished(request: BenchRequest): void;
};

/** What the engines work with. */
export type FleetOptions = {
	readonly deployment: Deployment;
	readonly time: EventQueue;
	readonly measurements: Measurements;
	readonly contractCompliance: ContractCompliance;
	readonly listener: FleetListener;
};

/** The engines of a deployment in virtual time. */
export type Fleet = {
	readonly descriptions: ReadonlyMap<string, TargetDescription>;
	readonly engineSimulations: ReadonlyMap<
		string,
		EngineSimulation<BenchGeneration>
	>;
	submit(targetId: string, request: BenchRequest, priority: number): void;
	/** Cancels a generation and tells whether it was there. */
	cancel(targetId: string, request: BenchRequest): boolean;
	/** The newest report that is old enough to be seen. */
	report(targetId: string): LoadReport;
	/** Prefix-cache events after a sequence number that are old enough to be seen. */
	cacheEvents(targetId: string, after: number): readonly CacheEvent[];
};

type Timed<T> = {readonly atMs: number; readonly value: T};

type EngineRun = {
	readonly model: EngineSimulation<BenchGeneration>;
	readonly reports: Array<Timed<LoadReport>>;
	readonly events: Array<Timed<CacheEvent>>;
	stepping: boolean;
};

const reportLagMs = 500;
const reportIntervalMs = 250;
const cacheLagMs = 2000;
const keptEvents = 5000;
const progressTokens = 16;
const minuteMs = 60_000;

/** Availability zone of the VM or engine with an index. */
export function zoneOf(deployment: Deployment, index: number): string {
	return `zone-${1 + (index % deployment.zoneCount)}`;
}

/** Creates idle engines. */
export function createFleet(options: FleetOptions): Fleet {
	const {deployment, time, measurements, contractCompliance, listener} =
		options;
	const engines = new Map<string, EngineRun>();
	const descriptions = new Map<string, TargetDescription>();

	const record = (engine: EngineRun) => {
		const {model} = engine;
		engine.reports.push({
			atMs: time.nowMs(),
			value: {
				sequence: Math.round(time.nowMs()),
				ageMs: 0,
				runningCount: model.runningCount,
				waitingCount: model.waitingCount,
				usedTokens: model.usedTokens,
				capacityTokens: deployment.engine.capacityTokens,
				preemptionsTotal: model.preemptionsTotal,
				models: [deployment.model],
				leaving: false,
			},
		});
		if (engine.reports.length > 20) {
			engine.reports.shift();
		}
	};

	const deliver = (engine: EngineRun, result: ReturnType<typeof step>) => {
		const nowMs = time.nowMs();
		const minute = Math.floor(nowMs / minuteMs);
		for (const {generation, producedTokens} of result.produced) {
			if (generation.cancelled) {
				continue;
			}

			const {request} = generation;
			contractCompliance.recordToken(request, minute);
			if (generation.lastTokenMs < 0) {
				measurements.recordFirstToken(nowMs - request.arrivalMs);
			} else {
				measurements.recordTokenGap(nowMs - generation.lastTokenMs);
			}

			generation.lastTokenMs = nowMs;
			if (producedTokens % progressTokens === 1) {
				listener.onProgress(request, producedTokens);
			}
		}

		for (const {generation} of result.finished) {
			if (!generation.cancelled) {
				measurements.recordFinished(generation.outputTokens);
				listener.onFinished(generation.request);
			}
		}

		for (const event of engine.model.takeCacheEvents()) {
			engine.events.push({atMs: nowMs, value: event});
		}

		if (engine.events.length > 2 * keptEvents) {
			engine.events.splice(0, keptEvents);
		}
	};

	const step = (engine: EngineRun) => {
		const result = engine.model.step();
		measurements.recordPreemptions(result.preempted.length);
		return result;
	};

	const run = (engine: EngineRun) => {
		const {model} = engine;
		if (model.runningCount + model.waitingCount === 0) {
			engine.stepping = false;
			return;
		}

		engine.stepping = true;
		const result = step(engine);
		time.after(result.durationMs, () => {
			deliver(engine, result);
			run(engine);
		});
	};

	for (let index = 0; index < deployment.engineCount; index++) {
		const id = `engine-${index + 1}`;
		const engine: EngineRun = {
			model: createEngineSimulation<BenchGeneration>(deployment.engine),
			reports: [],
			events: [],
			stepping: false,
		};
		engines.set(id, engine);
		descriptions.set(id, {
			id,
			kind: 'engine',
			url: `http://${id}`,
			availabilityZone: zoneOf(deployment, index),
			models: [deployment.model],
			service: '',
			fencing: 'ignores',
			answersOutcomes: false,
		});
		time.every(reportIntervalMs, 0, () => {
			record(engine);
		});
	}

	return {
		descriptions,
		engineSimulations: new Map(
			[...engines].map(([id, {model}]) => [id, model]),
		),
		submit(targetId, request, priority) {
			const engine = engines.get(targetId)!;
			engine.model.submit({
				id: String(request.index),
				promptTokens: request.promptTokens,
				outputTokens: request.outputTokens,
				priority,
				finishReason: 'stop',
				prefixHashes: request.prefixHashes,
				request,
				lastTokenMs: -1,
				cancelled: false,
			});
			if (!engine.stepping) {
				run(engine);
			}
		},
		cancel(targetId, request) {
			const {model} = engines.get(targetId)!;
			const id = String(request.index);
			for (const list of [model.running, model.waiting]) {
				const sequence = list.find((one) => one.generation.id === id);
				if (sequence) {
					sequence.generation.cancelled = true;
					break;
				}
			}

			return model.cancel(id);
		},
		report(targetId) {
			const {reports} = engines.get(targetId)!;
			const nowMs = time.nowMs();
			const seen =
				reports.findLast((one) => one.atMs <= nowMs - reportLagMs) ??
				reports[0];
			return {...seen.value, ageMs: nowMs - seen.atMs};
		},
		cacheEvents(targetId, after) {
			const nowMs = time.nowMs();
			return engines
				.get(targetId)!
				.events.filter(
					({atMs, value}) =>
						value.sequence > after && atMs <= nowMs - cacheLagMs,
				)
				.map(({value}) => value);
		},
	};
}
