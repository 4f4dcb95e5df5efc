import process from 'node:process';
import {
	type Engine,
	LeasePeers,
	type LoadReport,
	type StopResponse,
	type TargetDescription,
	type VmEntry,
} from '../../common/index.js';
import {
	createOrderCoordinator,
	type EngineView,
} from '../../decisions/leases/index.js';
import {FakeTableService, VirtualTime} from '../fakes/index.js';

/** Cost of lease upkeep at one number of targets, for each second of the fleet's time. */
export type OrderSlope = {
	readonly targetCount: number;
	readonly vmCount: number;
	/** Transactions of the whole fleet. */
	readonly transactionsPerSecond: number;
	/** Single reads and listings of the whole fleet. */
	readonly readsPerSecond: number;
	/** Rows written by the whole fleet. */
	readonly rowsPerSecond: number;
	/** Processor time of one VM, in milliseconds. */
	readonly cpuMsPerSecondPerVm: number;
	/** Leases of the VM that holds the most. */
	readonly mostLeases: number;
};

const lease = {
	durationMs: 15_000,
	renewalMs: 5000,
	resendMs: 10_000,
	lateCopyMs: 120_000,
};
const placement = {
	growAtLoad: 0.8,
	shrinkAtLoad: 0.5,
	minDwellMs: 300_000,
	staleAfterMs: 1e9,
	stepInMs: 30_000,
};
const weights = {bytesPerSecond: 1e9, burstBytes: 2e11};
const modelNames = ['m1', 'm2', 'm3', 'm4', 'm5'];
const models = new Map(
	modelNames.map((name) => [
		name,
		{
			version: '1',
			minCopies: 1,
			maxCopies: 10_000,
			tokensPerSecondPerCopy: 1000,
			tokensPerSecondPerStream: 20,
			queuePerCopy: 20,
		},
	]),
);
const tickMs = 500;
const warmUpMs = 30_000;
const zonesPerRegion = 4;

class NoPeers extends LeasePeers {
	override async confirmStop(): Promise<StopResponse> {
		return 'busy';
	}
}

function createTargets(
	count: number,
	regionCount: number,
): ReadonlyMap<string, TargetDescription> {
	const targets = new Map<string, TargetDescription>();
	for (let index = 0; index < count; index++) {
		const id = `engine-${index}`;
		targets.set(id, {
			id,
			kind: 'engine',
			url: `http://${id}`,
			availabilityZone: `zone-${index % (regionCount * zonesPerRegion)}`,
			models: modelNames,
			service: '',
			fencing: 'ignores',
			answersOutcomes: false,
		});
	}

	return targets;
}

function createEntries(count: number, regionCount: number): readonly VmEntry[] {
	return Array.from({length: count}, (_, index) => {
		const zone = index % (regionCount * zonesPerRegion);
		return {
			instanceId: `vm-${index}`,
			role: 'entry',
			name: `entry-${index}`,
			availabilityZone: `zone-${zone}`,
			region: `region-${Math.floor(zone / zonesPerRegion)}`,
			address: `vm-${index}`,
			state: 'live',
		};
	});
}

function createViews(
	targets: ReadonlyMap<string, TargetDescription>,
): readonly EngineView[] {
	return [...targets.values()].map((target, index) => ({
		target,
		models: [modelNames[index % modelNames.length]],
		leaving: false,
		seenMs: 0,
		runningCount: 0,
		waitingCount: 0,
	}));
}

function createVm(
	time: VirtualTime,
	table: FakeTableService,
	vm: VmEntry,
	targets: ReadonlyMap<string, TargetDescription>,
) {
	const views = createViews(targets);
	// A load of 65% lies between the marks, so that only upkeep is measured.
	const copyCount = targets.size / modelNames.length;
	const demand = new Map(
		modelNames.map((name) => [
			name,
			{tokensPerSecond: copyCount * 650, queueLength: 0},
		]),
	);
	const engine: Pick<Engine, 'order' | 'loadReport'> = {
		async order() {
			throw new Error('no command is expected');
		},
		async loadReport(): Promise<LoadReport> {
			throw new Error('no report is expected');
		},
	};
	return createOrderCoordinator({
		table,
		clock: time,
		placement: () => placement,
		weights: () => weights,
		models: () => models,
		demand: () => demand,
		engines: () => views,
		sizeBytes: async () => 0,
		createCommandId: () => 'command',
		vmInstanceId: vm.instanceId,
		incarnation: vm.instanceId,
		settings: () => lease,
		candidatesPerTarget: () => 2,
		targets: () => targets,
		engineFor: () => engine,
		peers: new NoPeers(),
		onRecord() {
			// Records are not measured.
		},
		onCount() {
			// Counters are not measured.
		},
	});
}

/**
 * Measures the upkeep of leases: renewals, watching and planning without commands. All VMs of the
 * fleet run in this process over virtual time.
 * @param targetCount - engines of the fleet
 * @param vmCount - entry VMs of the fleet
 * @param regionCount - regions, with four availability zones each
 * @param seconds - virtual time to measure, in seconds
 */
export async function measureOrderSlope(
	targetCount: number,
	vmCount: number,
	regionCount: number,
	seconds = 10,
): Promise<OrderSlope> {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 2000});
	const targets = createTargets(targetCount, regionCount);
	const entries = createEntries(vmCount, regionCount);
	const vms = entries.map((entry) => createVm(time, table, entry, targets));
	for (const [index, vm] of vms.entries()) {
		vm.recordVmList({sequence: 1, vms: entries});
		const repeat = (delayMs: number) => {
			time.after(delayMs, () => {
				void vm.tick();
				repeat(tickMs);
			});
		};

		repeat((index * tickMs) / vmCount);
	}

	await time.runUntil(warmUpMs);
	const before = {...table.counts};
	const cpuBefore = process.cpuUsage();
	await time.runUntil(warmUpMs + seconds * 1000);
	const cpu = process.cpuUsage(cpuBefore);
	const after = table.counts;
	const perSecond = (count: number) => count / seconds;
	return {
		targetCount,
		vmCount,
		transactionsPerSecond: perSecond(after.transactions - before.transactions),
		readsPerSecond: perSecond(
			after.gets - before.gets + after.lists - before.lists,
		),
		rowsPerSecond: perSecond(after.rowsWritten - before.rowsWritten),
		cpuMsPerSecondPerVm: perSecond((cpu.user + cpu.system) / 1000) / vmCount,
		mostLeases: Math.max(...vms.map((vm) => vm.heldCount)),
	};
}

/** Sizes of the fleet that the slopes are measured at: small, today's and the design scale. */
export const orderSlopeSizes = [
	{targetCount: 10, vmCount: 8, regionCount: 1},
	{targetCount: 100, vmCount: 18, regionCount: 1},
	{targetCount: 1800, vmCount: 320, regionCount: 7},
] as const;

/** Measures the upkeep at every size. */
export async function measureOrderSlopes(): Promise<readonly OrderSlope[]> {
	const slopes: OrderSlope[] = [];
	for (const {targetCount, vmCount, regionCount} of orderSlopeSizes) {
		slopes.push(await measureOrderSlope(targetCount, vmCount, regionCount));
	}

	return slopes;
}
