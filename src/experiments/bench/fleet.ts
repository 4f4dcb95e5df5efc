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

/** A generation at a simulated engine. */
export type BenchGeneration = SimulatedGeneration & {
	readonly request: BenchRequest;
	/** Time of the latest token; negative before the first one. */
	lastTokenMs: number;
	cancelled: boolean;
};

/** Receives the progress of generations. */
export type FleetListener = {
	/** Called with the first token and then after every 16 more. */
	onProgress(request: BenchRequest, producedTokens: number): void;
	onFinished(request: BenchRequest): void;
};

export type FleetOptions = {
	readonly deployment: Deployment;
	readonly time: EventQueue;
	readonly measurements: Measurements;
	readonly contractCompliance: ContractCompliance;
	readonly listener: FleetListener;
};

/** Simulated engines of a deployment in virtual time. */
export type Fleet = {
	readonly descriptions: ReadonlyMap<string, TargetDescription>;
	readonly engineSimulations: ReadonlyMap<
		string,
		EngineSimulation<BenchGeneration>
	>;
	submit(targetId: string, request: BenchRequest, priority: number): void;
	/**
	 * Cancels a generation.
	 * @returns false if the engine does not have it
	 */
	cancel(targetId: string, request: BenchRequest): boolean;
	/** Returns the newest load report that is at least 500 ms old, or the oldest one. */
	report(targetId: string): LoadReport;
	/** Returns the prefix-cache events after a sequence number that are at least 2 s old. */
	cacheEvents(targetId: string, after: number): readonly CacheEvent[];
};

type Timed<T> = {readonly atMs: number; readonly value: T};

type EngineState = {
	readonly simulation: EngineSimulation<BenchGeneration>;
	readonly reports: Array<Timed<LoadReport>>;
	readonly cacheEvents: Array<Timed<CacheEvent>>;
	/** True while a step of the engine is scheduled. */
	isStepping: boolean;
};

const reportLagMs = 500;
const reportIntervalMs = 250;
const cacheEventLagMs = 2000;
const minKeptCacheEvents = 5000;
const progressIntervalTokens = 16;
const minuteMs = 60_000;

/** Returns the availability zone of the VM or engine with an index. */
export function zoneOf(deployment: Deployment, index: number): string {
	return `zone-${1 + (index % deployment.zoneCount)}`;
}

/** Creates idle engines and schedules their load reports. */
export function createFleet(options: FleetOptions): Fleet {
	const {deployment, time, measurements, contractCompliance, listener} =
		options;
	const engines = new Map<string, EngineState>();
	const descriptions = new Map<string, TargetDescription>();

	const recordReport = (engine: EngineState) => {
		const {simulation} = engine;
		engine.reports.push({
			atMs: time.nowMs(),
			value: {
				sequence: Math.round(time.nowMs()),
				ageMs: 0,
				runningCount: simulation.runningCount,
				waitingCount: simulation.waitingCount,
				usedTokens: simulation.usedTokens,
				capacityTokens: deployment.engine.capacityTokens,
				preemptionsTotal: simulation.preemptionsTotal,
				models: [deployment.model],
				leaving: false,
			},
		});
		if (engine.reports.length > 20) {
			engine.reports.shift();
		}
	};

	const deliverStep = (
		engine: EngineState,
		result: ReturnType<typeof runStep>,
	) => {
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
			if (producedTokens % progressIntervalTokens === 1) {
				listener.onProgress(request, producedTokens);
			}
		}

		for (const {generation} of result.finished) {
			if (!generation.cancelled) {
				measurements.recordFinished(generation.outputTokens);
				listener.onFinished(generation.request);
			}
		}

		for (const event of engine.simulation.takeCacheEvents()) {
			engine.cacheEvents.push({atMs: nowMs, value: event});
		}

		if (engine.cacheEvents.length > 2 * minKeptCacheEvents) {
			engine.cacheEvents.splice(0, minKeptCacheEvents);
		}
	};

	const runStep = (engine: EngineState) => {
		const result = engine.simulation.step();
		measurements.recordPreemptions(result.preempted.length);
		return result;
	};

	const runUntilIdle = (engine: EngineState) => {
		const {simulation} = engine;
		if (simulation.runningCount + simulation.waitingCount === 0) {
			engine.isStepping = false;
			return;
		}

		engine.isStepping = true;
		const result = runStep(engine);
		time.after(result.durationMs, () => {
			deliverStep(engine, result);
			runUntilIdle(engine);
		});
	};

	for (let index = 0; index < deployment.engineCount; index++) {
		const id = `engine-${index + 1}`;
		const engine: EngineState = {
			simulation: createEngineSimulation<BenchGeneration>(deployment.engine),
			reports: [],
			cacheEvents: [],
			isStepping: false,
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
			recordReport(engine);
		});
	}

	return {
		descriptions,
		engineSimulations: new Map(
			[...engines].map(([id, {simulation}]) => [id, simulation]),
		),
		submit(targetId, request, priority) {
			const engine = engines.get(targetId)!;
			engine.simulation.submit({
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
			if (!engine.isStepping) {
				runUntilIdle(engine);
			}
		},
		cancel(targetId, request) {
			const {simulation} = engines.get(targetId)!;
			const id = String(request.index);
			for (const queue of [simulation.running, simulation.waiting]) {
				const scheduled = queue.find(
					(candidate) => candidate.generation.id === id,
				);
				if (scheduled) {
					scheduled.generation.cancelled = true;
					break;
				}
			}

			return simulation.cancel(id);
		},
		report(targetId) {
			const {reports} = engines.get(targetId)!;
			const nowMs = time.nowMs();
			const visible =
				reports.findLast((one) => one.atMs <= nowMs - reportLagMs) ??
				reports[0];
			return {...visible.value, ageMs: nowMs - visible.atMs};
		},
		cacheEvents(targetId, after) {
			const nowMs = time.nowMs();
			return engines
				.get(targetId)!
				.cacheEvents.filter(
					({atMs, value}) =>
						value.sequence > after && atMs <= nowMs - cacheEventLagMs,
				)
				.map(({value}) => value);
		},
	};
}
