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

/** Faults that a test plants to see whether the runs catch them. */
export type OrderMutation = CoordinatorOverrides & {
	/** Targets that should refuse old numbers obey them. */
	readonly skipsFencingCheck?: boolean;
	/** Replaces the table service as the VMs see it. */
	readonly wrapTable?: (table: FakeTableService) => TableService;
};

const peerLatencyMs = 2;
const peerTimeoutMs = 1500;
const listDelayMs = 2500;
const zones = ['zone-1', 'zone-2', 'zone-3'];

/** Three entry VMs, targets of both kinds, the platform and the network between them. */
export type OrderWorld = {
	readonly table: FakeTableService;
	readonly targets: ReadonlyMap<string, FakeOrderTarget>;
	readonly checks: OrderChecks;
	readonly counts: ReadonlyMap<string, number>;
	setDemand(model: string, tokensPerSecond: number): void;
	crash(vm: number): void;
	pause(vm: number, pauseMs: number): void;
	/** Hits the VM that sends the next command, directly before it departs. */
	planFaultAtSend(pauseMs: number | undefined): void;
	planOrderFault(target: number, fault: OrderFault): void;
	freezeVmList(untilMs: number): void;
	cutPeers(untilMs: number): void;
	setReportLagMs(lagMs: number): void;
	clearFaults(): void;
	/** True if every lease has a holder and no command is in flight. */
	hasNoOpenIntents(): boolean;
};

/** Creates a world in which every model has one copy. */
export function createOrderWorld(
	context: SoakContext,
	overrides: OrderMutation = {},
): OrderWorld {
	const {time, invariants} = context;
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 800});
	const vmTable = overrides.wrapTable?.(table) ?? table;
	const targets = new Map<string, FakeOrderTarget>();
	const vms: OrderVm[] = [];
	const demand = new Map<string, ModelDemand>();
	const counts = new Map<string, number>();
	const lists: Array<{atMs: number; snapshot: VmListSnapshot}> = [];
	let staleUntilMs = 0;
	let cutUntilMs = 0;
	const reports = {lagMs: 300};
	let faultAtSend: {readonly pauseMs: number | undefined} | undefined;
	let vmNumber = 0;

	const checks = createOrderChecks({
		time,
		invariants,
		table,
		targets,
		sizeBytes: modelBytes,
		...weightStoreSettings,
		trace: context.trace,
	});

	const publishList = () => {
		const entries = vms
			.filter((vm) => vm.process.state !== 'crashed')
			.map((vm) => vm.entry);
		const sequence = lists.length;
		lists.push({atMs: time.nowMs(), snapshot: {sequence, vms: entries}});
	};

	class ListView extends VmList {
		private shown: VmListSnapshot = {sequence: -1, vms: []};

		override async read(): Promise<VmListSnapshot> {
			await time.sleep(peerLatencyMs);
			const nowMs = time.nowMs();
			const visible = lists.findLast(
				({atMs}) => atMs <= nowMs - listDelayMs,
			)?.snapshot;
			if (visible && nowMs >= staleUntilMs) {
				this.shown = visible;
			}

			return this.shown;
		}
	}

	class PeerLinks extends LeasePeers {
		override async confirmStop(question: StopRequest): Promise<StopResponse> {
			const vm = vms.find(
				(one) => one.entry.instanceId === question.holder.vmInstanceId,
			);
			const reachable = time.nowMs() >= cutUntilMs;
			await time.sleep(peerLatencyMs);
			if (!vm || !reachable || vm.process.state !== 'running') {
				await time.sleep(peerTimeoutMs);
				throw new ProblemError('peer-unavailable', 'the peer did not answer');
			}

			await vm.process.step();
			const answer = vm.coordinator.confirmStop(question);
			await time.sleep(peerLatencyMs);
			return answer;
		}
	}

	const hitSender = (index: number) => {
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
		const number = vmNumber++;
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
			vmList: new ListView(),
			peers: new PeerLinks(),
			targets,
			demand,
			overrides,
			beforeSend() {
				hitSender(index);
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
		publishList();
		time.after(listDelayMs, () => {
			startVm(index);
			publishList();
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
				reportLagMs: () => reports.lagMs,
				checksFencingNumbers:
					fencing === 'refuses-old' && !overrides.skipsFencingCheck,
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

	publishList();
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
		planOrderFault(target, fault) {
			targets.get(`engine-${target}`)!.planFault(fault);
		},
		freezeVmList(untilMs) {
			staleUntilMs = Math.max(staleUntilMs, untilMs);
		},
		cutPeers(untilMs) {
			cutUntilMs = Math.max(cutUntilMs, untilMs);
		},
		setReportLagMs(lagMs) {
			reports.lagMs = lagMs;
		},
		clearFaults() {
			table.clearFaults();
			faultAtSend = undefined;
			staleUntilMs = 0;
			cutUntilMs = 0;
			reports.lagMs = 300;
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
