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

/** Weights of one model, in bytes. */
export const modelBytes = 10_000_000_000;

/** Budget of the weight store in the scenario. */
export const weightStoreSettings = {
	bytesPerSecond: 800_000_000,
	burstBytes: 20_000_000_000,
};

const tickMs = 500;
const viewMs = 1000;
const settings = {
	durationMs: 6000,
	renewalMs: 2000,
	resendMs: 3000,
	lateCopyMs: 20_000,
};
const placement = {
	growAtLoad: 0.9,
	shrinkAtLoad: 0.7,
	minDwellMs: 4000,
	staleAfterMs: 10_000,
	stepInMs: 3000,
};
const models = new Map(
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

/** Parts of the coordinator that a test replaces to plant a fault. */
export type CoordinatorOverrides = Partial<
	Pick<OrderCoordinatorOptions, 'decisions' | 'copyCheck'>
>;

/** What a simulated entry VM works with. */
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
	/** Called directly before a command departs. */
	readonly beforeSend: () => void;
	readonly onCount: (name: string, labels: Record<string, string>) => void;
	readonly trace: (line: string) => void;
};

/** A simulated entry VM. */
export type OrderVm = {
	readonly entry: VmEntry;
	readonly incarnation: string;
	readonly process: FakeProcess;
	readonly coordinator: OrderCoordinator;
};

/** Starts an entry VM that ticks, reads load reports and the VM list until it crashes. */
export function startOrderVm(options: OrderVmOptions): OrderVm {
	const {process, targets, incarnation} = options;
	const views = new Map<string, EngineView>();
	const links = new Map(
		[...targets].map(([id, target]) => {
			const link = process.wrap(target.clientFor(incarnation));
			const hooked: Pick<Engine, 'order' | 'loadReport'> = {
				async order(order) {
					options.beforeSend();
					return link.order(order);
				},
				loadReport: async () => link.loadReport(),
			};
			return [id, hooked] as const;
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
		placement: () => placement,
		weights: () => weightStoreSettings,
		models: () => models,
		demand: () => options.demand,
		engines: () => [...views.values()],
		sizeBytes: async () => modelBytes,
		createCommandId: () => `${incarnation}-${commandCount++}`,
		vmInstanceId: options.entry.instanceId,
		incarnation,
		settings: () => settings,
		candidatesPerTarget: () => 2,
		targets: () => descriptions,
		engineFor: (id) => links.get(id),
		peers: process.wrap(options.peers),
		onRecord({subject, cause, result}) {
			options.trace(`${incarnation}: ${subject}: ${result} (${cause})`);
		},
		onCount: options.onCount,
	});

	const readViews = async () => {
		const reads = [...links].map(async ([id, link]) => {
			const startedMs = options.time.nowMs();
			const report = await link.loadReport();
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

	const repeat = (everyMs: number, run: () => Promise<void>) => {
		process.after(everyMs, () => {
			void run();
			repeat(everyMs, run);
		});
	};

	repeat(tickMs, async () => coordinator.tick());
	repeat(viewMs, readViews);
	return {entry: options.entry, incarnation, process, coordinator};
}
