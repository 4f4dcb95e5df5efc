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

/** One simulated entry VM. */
export type FleetVm = {
	readonly address: MemberAddress;
	node: MemberNode;
	follower: ConfigurationFollower;
	state: 'running' | 'paused' | 'dead';
	startedAtMs: number;
	/** Latest time at which a fault of this VM was in force. */
	faultyUntilMs: number;
	activity: readonly TargetActivity[];
};

/** What a fleet is made of. */
export type FakeFleetOptions = {
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly members: readonly MemberAddress[];
	readonly contractOf: (account: string) => Contract;
	readonly rules?: MembershipRules;
	/** Takes the bytes of each packed message. */
	readonly onMessage?: (message: MembershipMessage, bytes: number) => void;
	readonly listIntervalMs?: number;
};

/** Entry VMs on a simulated network. */
export type FakeFleet = {
	readonly vms: readonly FleetVm[];
	/** Entries of VMs of targets, as the platform has them now. */
	readonly targetVms: VmEntry[];
	/** Committed changes of the configuration. */
	readonly changes: ConfigurationChange[];
	tableDown: boolean;
	listStale: boolean;
	start(): void;
	kill(vm: FleetVm): void;
	restart(vm: FleetVm): void;
	pause(vm: FleetVm): void;
	resume(vm: FleetVm): void;
	/** Cuts or mends the direction from one VM to another. */
	setLink(from: FleetVm, to: FleetVm, works: boolean): void;
};

const callTimeoutMs = 2000;
const localLatencyMs = 1;
const remoteLatencyMs = 40;
const tableIntervalMs = 2000;
const seedBound = 2 ** 31;

/** Creates a fleet; nothing runs before `start`. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
	const {time, random} = options;
	const listIntervalMs = options.listIntervalMs ?? 2000;
	const cutLinks = new Set<string>();
	const late = new Map<FleetVm, Array<() => void>>();
	const targetVms: VmEntry[] = [];
	const changes: ConfigurationChange[] = [];
	let shownList: readonly VmEntry[] = [];
	const byName = new Map<string, FleetVm>();

	const startProcess = (vm: FleetVm) => {
		vm.follower = createConfigurationFollower();
		const {follower} = vm;
		vm.startedAtMs = time.nowMs();
		vm.node = createMemberNode({
			self: vm.address,
			incarnation: time.wallMs(),
			random: new SeededRandomSource(random.nextInt(seedBound)),
			nowMs: () => time.nowMs(),
			wallMs: () => time.wallMs(),
			configurationVersion: () => follower.current.version,
			stopping: () => false,
			contractOf: options.contractOf,
			ownActivity: () => vm.activity,
			rules: options.rules,
		});
		vm.node.membership.onNewerConfiguration((peer) => {
			const source = byName.get(peer.name)!;
			if (
				follower.isCaughtUp &&
				source.state === 'running' &&
				linkWorks(vm, source) &&
				linkWorks(source, vm)
			) {
				follower.offer(
					source.follower.changesAfter(follower.current.version),
					'peer',
				);
			}
		});
		vm.node.recordVmList(shownList);
	};

	const vms = options.members.map((address): FleetVm => {
		const vm = {
			address,
			state: 'running',
			startedAtMs: 0,
			faultyUntilMs: Number.NEGATIVE_INFINITY,
			activity: [],
		} as unknown as FleetVm;
		byName.set(address.name, vm);
		return vm;
	});

	const linkId = (from: FleetVm, to: FleetVm) =>
		`${from.address.name} ${to.address.name}`;
	const linkWorks = (from: FleetVm, to: FleetVm) =>
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

	const transfer = (message: MembershipMessage): MembershipMessage => {
		const text = JSON.stringify(packMessage(message));
		options.onMessage?.(message, text.length);
		return unpackMessage(JSON.parse(text));
	};

	const latencyMs = (from: FleetVm, to: FleetVm) =>
		from.address.region === to.address.region
			? localLatencyMs
			: remoteLatencyMs;

	const deliver = (to: FleetVm, run: () => void) => {
		if (to.state === 'running') {
			run();
		} else if (to.state === 'paused') {
			late.set(to, [...(late.get(to) ?? []), run]);
		}
	};

	const exchange = (from: FleetVm, to: FleetVm, request: MembershipMessage) => {
		const {node} = from;
		let ended = false;
		const packed = transfer(request);
		time.after(callTimeoutMs, () => {
			if (!ended) {
				ended = true;
				node.membership.recordFailure(to.address.name, time.nowMs());
			}
		});
		if (!linkWorks(from, to)) {
			return;
		}

		time.after(latencyMs(from, to), () => {
			deliver(to, () => {
				const reply = transfer(
					to.node.membership.handleRequest(packed, time.nowMs()),
				);
				if (!linkWorks(to, from)) {
					return;
				}

				time.after(latencyMs(from, to), () => {
					if (!ended && from.node === node && from.state === 'running') {
						ended = true;
						node.membership.handleResponse(reply, time.nowMs());
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
			exchange(vm, byName.get(peer.name)!, message);
		}
	};

	const poll = (vm: FleetVm) => {
		if (vm.state !== 'running') {
			return;
		}

		vm.node.recordVmList(shownList);
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
			shownList = currentList();
			every(listIntervalMs, () => {
				shownList = fleet.listStale ? shownList : currentList();
			});
			for (const vm of vms) {
				startProcess(vm);
				time.after(random.nextInt(tickMs), () => {
					every(tickMs, () => {
						tick(vm);
					});
					every(listIntervalMs, () => {
						poll(vm);
					});
					every(tableIntervalMs, () => {
						pollTable(vm);
					});
				});
			}
		},
		kill(vm) {
			vm.state = 'dead';
			late.delete(vm);
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
			const waiting = late.get(vm) ?? [];
			late.delete(vm);
			for (const run of waiting) {
				run();
			}
		},
		setLink(from, to, works) {
			if (works) {
				cutLinks.delete(linkId(from, to));
			} else {
				cutLinks.add(linkId(from, to));
			}
		},
	};
	return fleet;
}
