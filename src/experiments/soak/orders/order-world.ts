import {
	LeasePeers,
	ProblemError,
	type StopResponse,
	type StopRequest,
	type TableService,
	type VmEntry,
	VmList,
	type VmListSnapshot,
} from '../../../common/index.js';
import type {ModelDemand} from '../../../decisions/leases/index.js';
import {
	FakeOrderTarget,
	FakeProcess,
	FakeTableService,
	type OrderFault,
} from '../../fakes/index.js';
import type {SoakContext} from '../soak-scenario.js';
import {createOrderChecks, type OrderChecks} from './order-checks.js';
import {modelNames, targetCount, vmCount} from './order-plan.js';
import {
	modelBytes,
	type OrderVm,
	type CoordinatorOverrides,
	startOrderVm,
	weightStoreSettings,
} from './order-vm.js';

/** Broken variant of the lease code, the targets or the table, which the runs have to detect. */
export type OrderMutation = CoordinatorOverrides & {
	/** Targets that should refuse old fencing numbers accept them. */
	readonly skipsFencingCheck?: boolean;
	/** Replaces the table service as the VMs see it. */
	readonly wrapTable?: (table: FakeTableService) => TableService;
};

const peerLatencyMs = 2;
const peerTimeoutMs = 1500;
// Lag of the VM list, and time until a crashed VM is replaced.
const vmListDelayMs = 2500;
const zones = ['zone-1', 'zone-2', 'zone-3'];

/** Simulated entry VMs, targets with and without fencing, the platform's VM list and the network. */
export type OrderWorld = {
	readonly table: FakeTableService;
	readonly targets: ReadonlyMap<string, FakeOrderTarget>;
	readonly checks: OrderChecks;
	/** Counter values of all coordinators, by counter name and label values separated by spaces. */
	readonly counts: ReadonlyMap<string, number>;
	setDemand(model: string, tokensPerSecond: number): void;
	crash(vm: number): void;
	pause(vm: number, pauseMs: number): void;
	/** Pauses the VM that sends the next command directly before sending, or crashes it if `pauseMs` is undefined. */
	planFaultAtSend(pauseMs: number | undefined): void;
	/** Plans a fault for the next copy to the target that has no planned fault yet. */
	planOrderFault(target: number, fault: OrderFault): void;
	/** All VMs keep reading their last VM list until the given time. */
	freezeVmList(untilMs: number): void;
	/** Stop requests between VMs fail until the given time. */
	cutPeers(untilMs: number): void;
	setReportLagMs(lagMs: number): void;
	/** Ends all faults except crashes and pauses. */
	clearFaults(): void;
	/** True if every target has a lease row with a holder and without an intent. */
	hasNoOpenIntents(): boolean;
};

/** Creates a simulation in which every model has one replica. */
export function createOrderWorld(
	context: SoakContext,
	mutation: OrderMutation = {},
): OrderWorld {
	const {time, invariants} = context;
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 800});
	const vmTable = mutation.wrapTable?.(table) ?? table;
	const targets = new Map<string, FakeOrderTarget>();
	const vms: OrderVm[] = [];
	const demand = new Map<string, ModelDemand>();
	const counts = new Map<string, number>();
	const publishedLists: Array<{atMs: number; snapshot: VmListSnapshot}> = [];
	let vmListFrozenUntilMs = 0;
	let peersCutUntilMs = 0;
	const reportSettings = {lagMs: 300};
	let faultAtSend: {readonly pauseMs: number | undefined} | undefined;
	let nextVmNumber = 0;

	const checks = createOrderChecks({
		time,
		invariants,
		table,
		targets,
		sizeBytes: modelBytes,
		...weightStoreSettings,
		trace: context.trace,
	});

	const publishVmList = () => {
		const entries = vms
			.filter((vm) => vm.process.state !== 'crashed')
			.map((vm) => vm.entry);
		const sequence = publishedLists.length;
		publishedLists.push({
			atMs: time.nowMs(),
			snapshot: {sequence, vms: entries},
		});
	};

	class DelayedVmList extends VmList {
		private lastSnapshot: VmListSnapshot = {sequence: -1, vms: []};

		override async read(): Promise<VmListSnapshot> {
			await time.sleep(peerLatencyMs);
			const nowMs = time.nowMs();
			const visible = publishedLists.findLast(
				({atMs}) => atMs <= nowMs - vmListDelayMs,
			)?.snapshot;
			if (visible && nowMs >= vmListFrozenUntilMs) {
				this.lastSnapshot = visible;
			}

			return this.lastSnapshot;
		}
	}

	class SimulatedPeers extends LeasePeers {
		override async confirmStop(request: StopRequest): Promise<StopResponse> {
			const vm = vms.find(
				(candidate) =>
					candidate.entry.instanceId === request.holder.vmInstanceId,
			);
			const isReachable = time.nowMs() >= peersCutUntilMs;
			await time.sleep(peerLatencyMs);
			if (!vm || !isReachable || vm.process.state !== 'running') {
				await time.sleep(peerTimeoutMs);
				throw new ProblemError('peer-unavailable', 'the peer did not respond');
			}

			await vm.process.step();
			const response = vm.coordinator.confirmStop(request);
			await time.sleep(peerLatencyMs);
			return response;
		}
	}

	const applyFaultAtSend = (index: number) => {
		const fault = faultAtSend;
		faultAtSend = undefined;
		if (fault) {
			if (fault.pauseMs === undefined) {
				crash(index);
			} else {
				pause(index, fault.pauseMs);
			}
		}
	};

	const startVm = (index: number) => {
		const number = nextVmNumber++;
		const process = new FakeProcess(time);
		const entry: VmEntry = {
			instanceId: `vm-${index}-${number}`,
			role: 'entry',
			name: `entry-${index}`,
			availabilityZone: zones[index % zones.length],
			region: 'region-1',
			address: `vm-${index}:1`,
			state: 'live',
		};
		vms[index] = startOrderVm({
			entry,
			incarnation: `run-${number}`,
			time,
			process,
			table: vmTable,
			vmList: new DelayedVmList(),
			peers: new SimulatedPeers(),
			targets,
			demand,
			overrides: mutation,
			beforeSend() {
				applyFaultAtSend(index);
			},
			onCount(name, labels) {
				const key = [name, ...Object.values(labels)].join(' ');
				counts.set(key, (counts.get(key) ?? 0) + 1);
			},
			trace: context.trace,
		});
	};

	const crash = (index: number) => {
		const {process} = vms[index];
		if (process.state === 'crashed') {
			return;
		}

		context.countFault('entry-killed');
		context.trace(`${vms[index].incarnation} crashes`);
		process.crash();
		publishVmList();
		time.after(vmListDelayMs, () => {
			startVm(index);
			publishVmList();
		});
	};

	const pause = (index: number, pauseMs: number) => {
		context.countFault('entry-paused');
		context.trace(`${vms[index].incarnation} pauses for ${pauseMs} ms`);
		vms[index].process.pause(pauseMs);
	};

	for (let index = 0; index < targetCount; index++) {
		const id = `engine-${index}`;
		const fencing = index % 2 === 0 ? 'ignores' : 'refuses-old';
		targets.set(
			id,
			new FakeOrderTarget(time, {
				description: {
					id,
					kind: 'engine',
					url: `http://${id}`,
					availabilityZone: zones[index % zones.length],
					models: modelNames,
					service: '',
					fencing,
					answersOutcomes: false,
				},
				initialModels: index < modelNames.length ? [modelNames[index]] : [],
				latencyMs: 4,
				timeoutMs: 1000,
				reportLagMs: () => reportSettings.lagMs,
				checksFencingNumbers:
					fencing === 'refuses-old' && !mutation.skipsFencingCheck,
				onSend(order, sender) {
					context.countRequests();
					checks.recordSend(id, order, sender);
				},
				onArrival(arrival) {
					checks.recordArrival(id, arrival);
				},
			}),
		);
	}

	for (let index = 0; index < vmCount; index++) {
		startVm(index);
	}

	publishVmList();
	return {
		table,
		targets,
		checks,
		counts,
		setDemand(model, tokensPerSecond) {
			demand.set(model, {tokensPerSecond, queueLength: 0});
		},
		crash,
		pause,
		planFaultAtSend(pauseMs) {
			faultAtSend = {pauseMs};
		},
		/** Plans a fault for the next copy to the target that has no planned fault yet. */
		planOrderFault(target, fault) {
			targets.get(`engine-${target}`)!.planFault(fault);
		},
		/** All VMs keep reading their last VM list until the given time. */
		freezeVmList(untilMs) {
			vmListFrozenUntilMs = Math.max(vmListFrozenUntilMs, untilMs);
		},
		/** Stop requests between VMs fail until the given time. */
		cutPeers(untilMs) {
			peersCutUntilMs = Math.max(peersCutUntilMs, untilMs);
		},
		setReportLagMs(lagMs) {
			reportSettings.lagMs = lagMs;
		},
		clearFaults() {
			table.clearFaults();
			faultAtSend = undefined;
			vmListFrozenUntilMs = 0;
			peersCutUntilMs = 0;
			reportSettings.lagMs = 300;
			for (const target of targets.values()) {
				target.clearFaults();
			}
		},
		hasNoOpenIntents() {
			const rows = table.peekAll('lease/');
			return (
				rows.length === targets.size &&
				rows.every(
					(row) =>
						row.value.includes('"holder"') && !row.value.includes('"intent"'),
				)
			);
		},
	};
}
