import {
	type Engine,
	type LeasePeers,
	type TableService,
	type TargetDescription,
	type VmEntry,
	type VmList,
} from '../../../common/index.js';
import {
	createOrderCoordinator,
	type EngineView,
	type ModelDemand,
	type OrderCoordinator,
	type OrderCoordinatorOptions,
} from '../../../decisions/leases/index.js';
import type {
	FakeOrderTarget,
	FakeProcess,
	VirtualTime,
} from '../../fakes/index.js';
import {modelNames} from './order-plan.js';

/** Size of the weights of one model. */
export const modelBytes = 10_000_000_000;

/** Budget of the weight store in the scenario. */
export const weightStoreSettings = {
	bytesPerSecond: 800_000_000,
	burstBytes: 20_000_000_000,
};

const tickIntervalMs = 500;
const viewIntervalMs = 1000;
const leaseSettings = {
	durationMs: 6000,
	renewalMs: 2000,
	resendMs: 3000,
	lateCopyMs: 20_000,
};
const placementSettings = {
	growAtLoad: 0.9,
	shrinkAtLoad: 0.7,
	minDwellMs: 4000,
	staleAfterMs: 10_000,
	stepInMs: 3000,
};
const modelSettings = new Map(
	modelNames.map((name) => [
		name as string,
		{
			version: '1',
			minCopies: 1,
			maxCopies: 4,
			tokensPerSecondPerCopy: 100,
			tokensPerSecondPerStream: 20,
			queuePerCopy: 10,
		},
	]),
);

/** Parts of the order coordinator that a test replaces to plant a fault. */
export type CoordinatorOverrides = Partial<
	Pick<OrderCoordinatorOptions, 'decisions' | 'copyCheck'>
>;

/** Simulated process, network and observers of an entry VM. */
export type OrderVmOptions = {
	readonly entry: VmEntry;
	readonly incarnation: string;
	readonly time: VirtualTime;
	readonly process: FakeProcess;
	readonly table: TableService;
	readonly vmList: VmList;
	readonly peers: LeasePeers;
	readonly targets: ReadonlyMap<string, FakeOrderTarget>;
	readonly demand: ReadonlyMap<string, ModelDemand>;
	readonly overrides: CoordinatorOverrides;
	/** Called directly before a command is sent. */
	readonly beforeSend: () => void;
	/** Receives the counter increments of the coordinator. */
	readonly onCount: (name: string, labels: Record<string, string>) => void;
	readonly trace: (line: string) => void;
};

/** A simulated entry VM that runs the order coordinator. */
export type OrderVm = {
	readonly entry: VmEntry;
	readonly incarnation: string;
	readonly process: FakeProcess;
	readonly coordinator: OrderCoordinator;
};

/** Starts an entry VM that ticks and reads load reports and the VM list until its process crashes. */
export function startOrderVm(options: OrderVmOptions): OrderVm {
	const {process, targets, incarnation} = options;
	const views = new Map<string, EngineView>();
	const clients = new Map(
		[...targets].map(([id, target]) => {
			const client = process.wrap(target.clientFor(incarnation));
			const observedClient: Pick<Engine, 'order' | 'loadReport'> = {
				async order(order) {
					options.beforeSend();
					return client.order(order);
				},
				loadReport: async () => client.loadReport(),
			};
			return [id, observedClient] as const;
		}),
	);
	const vmList = process.wrap(options.vmList);
	const descriptions = new Map<string, TargetDescription>(
		[...targets].map(([id, target]) => [id, target.description]),
	);
	let commandCount = 0;

	const coordinator = createOrderCoordinator({
		...options.overrides,
		table: process.wrap(options.table),
		clock: options.time,
		placement: () => placementSettings,
		weights: () => weightStoreSettings,
		models: () => modelSettings,
		demand: () => options.demand,
		engines: () => [...views.values()],
		sizeBytes: async () => modelBytes,
		createCommandId: () => `${incarnation}-${commandCount++}`,
		vmInstanceId: options.entry.instanceId,
		incarnation,
		settings: () => leaseSettings,
		candidatesPerTarget: () => 2,
		targets: () => descriptions,
		engineFor: (id) => clients.get(id),
		peers: process.wrap(options.peers),
		onRecord({subject, cause, result}) {
			options.trace(`${incarnation}: ${subject}: ${result} (${cause})`);
		},
		onCount: options.onCount,
	});

	const refreshViews = async () => {
		const reads = [...clients].map(async ([id, client]) => {
			const startedMs = options.time.nowMs();
			const report = await client.loadReport();
			views.set(id, {
				target: descriptions.get(id)!,
				models: report.models,
				leaving: report.leaving,
				seenMs: startedMs - report.ageMs,
				runningCount: 0,
				waitingCount: 0,
			});
		});
		await Promise.all(reads);
		coordinator.recordVmList(await vmList.read());
	};

	const runEvery = (intervalMs: number, run: () => Promise<void>) => {
		process.after(intervalMs, () => {
			void run();
			runEvery(intervalMs, run);
		});
	};

	runEvery(tickIntervalMs, async () => coordinator.tick());
	runEvery(viewIntervalMs, refreshViews);
	return {entry: options.entry, incarnation, process, coordinator};
}
