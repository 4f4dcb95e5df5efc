import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	Clock,
	SeededRandomSource,
	type TargetDescription,
} from '../../common/index.js';
import {
	createEngineTable,
	createGenerationRouter,
	createLengthStatistics,
	type EngineTable,
	type GenerationRouter,
} from '../../decisions/routing/index.js';
import {createExactLedger} from '../bench/exact-ledger.js';

/** Cost of placements at several numbers of engines, and memory of the state that routing keeps. */
export type PlacementSlopes = {
	/** Processor time of one placement in microseconds, by number of engines. */
	readonly placementMicros: Readonly<Record<string, number>>;
	/** Memory of one engine in the table, in bytes. */
	readonly engineBytes: number;
	/** Memory of one histogram entry of the length statistics, in bytes. */
	readonly statisticsEntryBytes: number;
};

class FixedClock extends Clock {
	timeMs = 0;

	override nowMs(): number {
		return this.timeMs;
	}

	override wallMs(): number {
		return this.timeMs;
	}
}

const engineCounts = [10, 30, 100, 300];
const warmUpPlacementCount = 5000;
const measuredPlacementCount = 20_000;
const streamsPerEngine = 10;
const memoryEngineCount = 2000;
const memoryEntryCount = 6000;
const lengthStride = 379;
const capacityTokens = 1_000_000;
const promptTokens = 1500;
const account = 'account';
const requestClass = 'class';
const model = 'model';

const contract = {
	floorTokensPerMinute: 1000,
	ceilingTokensPerMinute: 1e12,
	shareWeight: 1,
};

function createTargetDescriptions(
	count: number,
): ReadonlyMap<string, TargetDescription> {
	const descriptions = new Map<string, TargetDescription>();
	for (let index = 0; index < count; index++) {
		const id = `engine-${index}`;
		descriptions.set(id, {
			id,
			kind: 'engine',
			url: `http://${id}`,
			availabilityZone: `zone-${index % 3}`,
			models: [model],
			service: '',
			fencing: 'ignores',
			answersOutcomes: false,
		});
	}

	return descriptions;
}

function recordLoad(engines: EngineTable): void {
	for (const {id} of engines.all()) {
		engines.recordReport(
			id,
			{
				sequence: 1,
				ageMs: 500,
				runningCount: streamsPerEngine,
				waitingCount: 0,
				usedTokens: promptTokens * streamsPerEngine,
				capacityTokens,
				preemptionsTotal: 0,
				models: [model],
				leaving: false,
			},
			0,
		);
		const activity = {
			targetId: id,
			openCount: streamsPerEngine,
			openTokens: promptTokens * streamsPerEngine,
			expectedGrowthTokens: promptTokens,
		};
		engines.recordActivity('others', [activity], 0);
	}
}

function createMeasuredRouter(engineCount: number): GenerationRouter {
	const statistics = createLengthStatistics();
	for (let index = 0; index < 1000; index++) {
		const tokens = 1 + ((index * lengthStride) % 1000);
		statistics.record(account, requestClass, model, tokens);
	}

	let nextId = 0;
	const router = createGenerationRouter({
		clock: new FixedClock(),
		random: new SeededRandomSource(1),
		fleetPosition: () => ({vmCount: 8, rank: 0}),
		availabilityZone: 'zone-0',
		ledger: createExactLedger(() => contract),
		statistics,
		settingsFor: () => ({
			contract,
			classSettings: {
				defaultDelivery: 'whole',
				resumeWindowMs: 0,
				maxTokens: 30_000,
				queueTimeoutMs: 30_000,
			},
			weights: {stallPerSecond: 1, preemption: 1, tailPerSecond: 1},
		}),
		createGenerationId: () => String(nextId++),
	});
	router.engines.update(createTargetDescriptions(engineCount));
	recordLoad(router.engines);
	return router;
}

/** Places generations, each of which ends at once. */
function placeMany(router: GenerationRouter, count: number): void {
	for (let index = 0; index < count; index++) {
		const prefix = `p${index % 50}`;
		router.submit(
			{
				account,
				requestClass,
				model,
				promptTokens,
				prefixHashes: [prefix, `${prefix}/1`, `${prefix}/2`],
				maxTokens: 30_000,
				delivery: 'whole',
			},
			{
				onPlaced({generationId}) {
					router.ended(generationId, 'cancelled', 0);
				},
				onRefused(problem) {
					throw problem;
				},
			},
		);
	}
}

function measurePlacementMicros(engineCount: number): number {
	const router = createMeasuredRouter(engineCount);
	placeMany(router, warmUpPlacementCount);
	const before = process.cpuUsage();
	placeMany(router, measuredPlacementCount);
	const {user, system} = process.cpuUsage(before);
	return (user + system) / measuredPlacementCount;
}

function exposeGarbageCollection(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}

/** Returns the memory that the result of a function retains, in bytes. */
function retainedBytes(
	collectGarbage: () => void,
	create: () => unknown,
): number {
	collectGarbage();
	const before = process.memoryUsage();
	const retained = create();
	collectGarbage();
	const after = process.memoryUsage();
	const bytes =
		after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
	// Reads the result, so that it is not collected before the measurement.
	return retained === undefined ? 0 : bytes;
}

/** Measures the processor time of placements and the memory of the state; takes a few seconds. */
export function measurePlacementSlopes(): PlacementSlopes {
	const micros = engineCounts.map(
		(count) =>
			[
				String(count),
				Number(measurePlacementMicros(count).toFixed(2)),
			] as const,
	);
	const collectGarbage = exposeGarbageCollection();
	const descriptions = createTargetDescriptions(memoryEngineCount);
	const engineBytes =
		retainedBytes(collectGarbage, () => {
			const table = createEngineTable();
			table.update(descriptions);
			recordLoad(table);
			return table;
		}) / memoryEngineCount;
	const statisticsEntryBytes =
		retainedBytes(collectGarbage, () => {
			const statistics = createLengthStatistics();
			// The model and its class have an entry each besides those of the accounts.
			for (let index = 0; index < memoryEntryCount - 2; index++) {
				statistics.record(`account-${index}`, requestClass, model, 100);
			}

			return statistics;
		}) / memoryEntryCount;
	return {
		placementMicros: Object.fromEntries(micros),
		engineBytes: Math.round(engineBytes),
		statisticsEntryBytes: Math.round(statisticsEntryBytes),
	};
}
