import {
	type Contract,
	type RandomSource,
	type TargetActivity,
	type VmEntry,
	SeededRandomSource,
} from '../../common/index.js';
import {
	type ConfigurationChange,
	type ConfigurationFollower,
	createConfigurationFollower,
} from '../../decisions/configuration/index.js';
import {
	createMemberNode,
	type MemberAddress,
	type MemberNode,
	type MembershipMessage,
	type MembershipRules,
	packMessage,
	tickMs,
	unpackMessage,
} from '../../decisions/membership/index.js';
import type {VirtualTime} from './virtual-time.js';

/** One simulated entry VM. `node` and `follower` are replaced at each start of its process. */
export type FleetVm = {
	readonly address: MemberAddress;
	node: MemberNode;
	follower: ConfigurationFollower;
	state: 'running' | 'paused' | 'dead';
	/** Virtual time of the last start of its process, in milliseconds. */
	startedAtMs: number;
	/** End of the last fault that affects this VM, in virtual milliseconds; may lie in the future. */
	faultyUntilMs: number;
	/** Load that this VM causes at targets and publishes to the others. */
	activity: readonly TargetActivity[];
};

export type FakeFleetOptions = {
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly members: readonly MemberAddress[];
	readonly contractOf: (account: string) => Contract;
	readonly rules?: MembershipRules;
	/** Called with each message sent, request or response, and the length of its packed JSON text. */
	readonly onMessage?: (message: MembershipMessage, bytes: number) => void;
	/** Interval at which the VM list is refreshed and read, in milliseconds; 2000 by default. */
	readonly listIntervalMs?: number;
};

/** Entry VMs on a simulated network, with a VM list and a configuration store that can fail. */
export type FakeFleet = {
	readonly vms: readonly FleetVm[];
	/** VMs of targets that the platform lists besides the entry VMs. */
	readonly targetVms: VmEntry[];
	/** Configuration changes in the table store, in the order of their versions. */
	readonly changes: ConfigurationChange[];
	/** While true, the table store cannot be read. */
	tableDown: boolean;
	/** While true, the VM list that VMs read is not refreshed. */
	listStale: boolean;
	start(): void;
	/** Ends the process of a VM; the next refresh of the VM list omits it. */
	kill(vm: FleetVm): void;
	/** Starts the process of a killed VM again, without its former state. */
	restart(vm: FleetVm): void;
	/**
	 * Suspends the process of a VM. Requests that arrive meanwhile are handled on `resume`; responses are
	 * dropped, so that their requests fail by the timeout.
	 */
	pause(vm: FleetVm): void;
	resume(vm: FleetVm): void;
	/** Cuts or restores the network from one VM to another, in this direction only. */
	setLink(from: FleetVm, to: FleetVm, isUp: boolean): void;
};

const requestTimeoutMs = 2000;
const sameRegionLatencyMs = 1;
const crossRegionLatencyMs = 40;
const tablePollIntervalMs = 2000;
const seedLimit = 2 ** 31;

/** Creates a fleet. Its processes and timers run only after `start`. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
	const {time, random} = options;
	const listIntervalMs = options.listIntervalMs ?? 2000;
	const cutLinks = new Set<string>();
	const deferredDeliveries = new Map<FleetVm, Array<() => void>>();
	const targetVms: VmEntry[] = [];
	const changes: ConfigurationChange[] = [];
	let publishedList: readonly VmEntry[] = [];
	const vmsByName = new Map<string, FleetVm>();

	const startProcess = (vm: FleetVm) => {
		vm.follower = createConfigurationFollower();
		const {follower} = vm;
		vm.startedAtMs = time.nowMs();
		vm.node = createMemberNode({
			self: vm.address,
			incarnation: time.wallMs(),
			random: new SeededRandomSource(random.nextInt(seedLimit)),
			nowMs: () => time.nowMs(),
			wallMs: () => time.wallMs(),
			configurationVersion: () => follower.current.version,
			stopping: () => false,
			contractOf: options.contractOf,
			ownActivity: () => vm.activity,
			rules: options.rules,
		});
		vm.node.membership.onNewerConfiguration((peer) => {
			const source = vmsByName.get(peer.name)!;
			if (
				follower.isCaughtUp &&
				source.state === 'running' &&
				isLinkUp(vm, source) &&
				isLinkUp(source, vm)
			) {
				follower.offer(
					source.follower.changesAfter(follower.current.version),
					'peer',
				);
			}
		});
		vm.node.recordVmList(publishedList);
	};

	const vms = options.members.map((address): FleetVm => {
		const vm = {
			address,
			state: 'running',
			startedAtMs: 0,
			faultyUntilMs: Number.NEGATIVE_INFINITY,
			activity: [],
		} as unknown as FleetVm;
		vmsByName.set(address.name, vm);
		return vm;
	});

	const linkId = (from: FleetVm, to: FleetVm) =>
		`${from.address.name} ${to.address.name}`;
	const isLinkUp = (from: FleetVm, to: FleetVm) =>
		!cutLinks.has(linkId(from, to));

	const currentList = (): VmEntry[] => [
		...vms
			.filter((vm) => vm.state !== 'dead')
			.map((vm): VmEntry => ({
				...vm.address,
				instanceId: vm.address.name,
				role: 'entry',
				state: 'live',
			})),
		...targetVms,
	];

	const encodeAndDecode = (message: MembershipMessage): MembershipMessage => {
		const text = JSON.stringify(packMessage(message));
		options.onMessage?.(message, text.length);
		return unpackMessage(JSON.parse(text));
	};

	const latencyMs = (from: FleetVm, to: FleetVm) =>
		from.address.region === to.address.region
			? sameRegionLatencyMs
			: crossRegionLatencyMs;

	const deliver = (to: FleetVm, run: () => void) => {
		if (to.state === 'running') {
			run();
		} else if (to.state === 'paused') {
			deferredDeliveries.set(to, [...(deferredDeliveries.get(to) ?? []), run]);
		}
	};

	const exchange = (from: FleetVm, to: FleetVm, request: MembershipMessage) => {
		const {node} = from;
		let ended = false;
		const received = encodeAndDecode(request);
		time.after(requestTimeoutMs, () => {
			if (!ended) {
				ended = true;
				node.membership.recordFailure(to.address.name, time.nowMs());
			}
		});
		if (!isLinkUp(from, to)) {
			return;
		}

		time.after(latencyMs(from, to), () => {
			deliver(to, () => {
				const response = encodeAndDecode(
					to.node.membership.handleRequest(received, time.nowMs()),
				);
				if (!isLinkUp(to, from)) {
					return;
				}

				time.after(latencyMs(from, to), () => {
					if (!ended && from.node === node && from.state === 'running') {
						ended = true;
						node.membership.handleResponse(response, time.nowMs());
					}
				});
			});
		});
	};

	const every = (intervalMs: number, run: () => void) => {
		time.after(intervalMs, () => {
			run();
			every(intervalMs, run);
		});
	};

	const tick = (vm: FleetVm) => {
		if (vm.state !== 'running') {
			return;
		}

		for (const {peer, message} of vm.node.tick()) {
			exchange(vm, vmsByName.get(peer.name)!, message);
		}
	};

	const pollVmList = (vm: FleetVm) => {
		if (vm.state !== 'running') {
			return;
		}

		vm.node.recordVmList(publishedList);
	};

	const pollTable = (vm: FleetVm) => {
		if (vm.state === 'running' && !fleet.tableDown) {
			const {version} = vm.follower.current;
			vm.follower.offer(changes.slice(version), 'table');
		}
	};

	const fleet: FakeFleet = {
		vms,
		targetVms,
		changes,
		tableDown: false,
		listStale: false,
		start() {
			publishedList = currentList();
			every(listIntervalMs, () => {
				publishedList = fleet.listStale ? publishedList : currentList();
			});
			for (const vm of vms) {
				startProcess(vm);
				time.after(random.nextInt(tickMs), () => {
					every(tickMs, () => {
						tick(vm);
					});
					every(listIntervalMs, () => {
						pollVmList(vm);
					});
					every(tablePollIntervalMs, () => {
						pollTable(vm);
					});
				});
			}
		},
		kill(vm) {
			vm.state = 'dead';
			deferredDeliveries.delete(vm);
		},
		restart(vm) {
			vm.state = 'running';
			startProcess(vm);
		},
		pause(vm) {
			if (vm.state === 'running') {
				vm.state = 'paused';
			}
		},
		resume(vm) {
			if (vm.state !== 'paused') {
				return;
			}

			vm.state = 'running';
			const deliveries = deferredDeliveries.get(vm) ?? [];
			deferredDeliveries.delete(vm);
			for (const run of deliveries) {
				run();
			}
		},
		setLink(from, to, isUp) {
			if (isUp) {
				cutLinks.delete(linkId(from, to));
			} else {
				cutLinks.add(linkId(from, to));
			}
		},
	};
	return fleet;
}
