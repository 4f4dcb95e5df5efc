import {SeededRandomSource} from '../../common/index.js';
import {
	createMemberList,
	createPermitClient,
	type FleetMessage,
	type MemberInfo,
} from '../../decisions/fleet/index.js';
import type {LimitedTarget} from '../../decisions/rate-limits/index.js';
import {VirtualTime} from './virtual-time.js';

export type PermitFleetOptions = {
	readonly vmCount: number;
	/** The target to which the VMs send, and its limit. */
	readonly target: LimitedTarget;
	/** Duration of the windows in which requests are counted, in milliseconds. */
	readonly windowMs: number;
	readonly seed?: number;
	/** Interval at which each VM requests a permit, in milliseconds; 50 by default. */
	readonly stepMs?: number;
	/** True if the coordinator also places a generation at the target each time that a VM requests a permit. */
	readonly isPlacing?: boolean;
	/** Time from which the target has its limit, in milliseconds; the VMs send nothing to it before. */
	readonly limitedFromMs?: number;
};

const latencyMs = 2;
const defaultStepMs = 50;
const contactIntervalMs = 500;

const addressOf = (index: number) => `10.1.0.${index}:7200`;

function memberInfo(index: number): MemberInfo {
	return {
		address: addressOf(index),
		availabilityZone: 'zone-1',
		instanceId: `i${index}`,
		// The VM with the lowest index coordinates.
		cpuMsPerSecond: 1000 - index,
		storeReadState: 'idle',
	};
}

type Link = (from: number, to: number) => boolean;

/**
 * Simulates VMs that request permits, on a network whose links and loss the test sets. Dead VMs neither
 * request nor respond.
 */
export function createPermitFleet({
	vmCount,
	target,
	windowMs,
	seed = 1,
	stepMs = defaultStepMs,
	isPlacing = false,
	limitedFromMs = 0,
}: PermitFleetOptions) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(seed);
	const state = {
		isUp: (_vm: number): boolean => true,
		isLinked: (() => true) as Link,
		lossFraction: 0,
	};
	/** Times at which requests arrive at the target. */
	const arrivalsMs: number[] = [];
	const deniedByVm = Array.from({length: vmCount}, () => 0);
	const grantedByVm = Array.from({length: vmCount}, () => 0);

	const isReachable = (from: number, to: number) =>
		state.isUp(from) && state.isUp(to) && state.isLinked(from, to);

	const vms = Array.from({length: vmCount}, (_, index) => {
		const members = createMemberList(time, memberInfo(index));
		let coordinatorSinceMs = Infinity;
		const client = createPermitClient({
			clock: time,
			timers: time,
			random,
			ownAddress: addressOf(index),
			members,
			coordinatorSinceMs: () =>
				members.isCoordinator ? coordinatorSinceMs : Infinity,
			send(address, message) {
				const to = vms.findIndex((vm) => vm.address === address);
				const isLost = random.nextUnit() < state.lossFraction;
				if (!isLost && isReachable(index, to)) {
					time.after(latencyMs, () => {
						vms[to].receive(index, message);
					});
				}
			},
			limitOf: () =>
				time.nowMs() >= limitedFromMs ? target.requestsPerSecond : undefined,
		});
		return {
			address: addressOf(index),
			members,
			client,
			updateRole() {
				if (!members.isCoordinator) {
					coordinatorSinceMs = Infinity;
				} else if (coordinatorSinceMs === Infinity) {
					coordinatorSinceMs = time.nowMs();
				}
			},
			receive(from: number, message: FleetMessage) {
				if (message.kind === 'permit') {
					const decision = client.decideFor(message.request);
					const answer = {kind: 'permit-answer', id: message.id, decision};
					if (isReachable(index, from)) {
						time.after(latencyMs, () => {
							vms[from].receive(index, answer as FleetMessage);
						});
					}
				} else if (message.kind === 'permit-answer') {
					client.handleDecision(addressOf(from), message.id, message.decision);
				}
			},
		};
	});

	const exchangeContacts = () => {
		for (const [index, vm] of vms.entries()) {
			for (let other = 0; other < vmCount; other++) {
				if (isReachable(other, index)) {
					vm.members.recordSeen(memberInfo(other), 0);
				}
			}

			vm.updateRole();
		}
	};

	const requestPermit = (index: number) => {
		vms[index].client.request(
			{targets: [target], maxWaitMs: 0, isUrgent: false},
			(decision) => {
				if (decision.outcome === 'granted') {
					grantedByVm[index]++;
					arrivalsMs.push(time.nowMs() + decision.waitMs);
				} else {
					deniedByVm[index]++;
				}
			},
		);
	};

	/** Places a generation by the turns of the VM that this one takes for the coordinator, if it reaches it. */
	const placeGeneration = (index: number) => {
		const {address} = vms[index].members.coordinator;
		const decider = vms.findIndex((vm) => vm.address === address);
		const isHeard = random.nextUnit() >= state.lossFraction;
		if (decider !== index && !(isHeard && isReachable(index, decider))) {
			vms[index].members.suspect(address);
			return;
		}

		const {client} = vms[decider];
		const turns = client.turnsOf(target.targetId);
		if (turns && turns.waitMs <= 0) {
			client.takeTurn(target.targetId);
			arrivalsMs.push(time.nowMs() + (decider === index ? 0 : latencyMs));
		}
	};

	const runUntil = async (untilMs: number) => {
		for (let atMs = time.nowMs(); atMs < untilMs; atMs += stepMs) {
			await time.runUntil(atMs);
			if (atMs % contactIntervalMs === 0) {
				exchangeContacts();
			}

			for (let index = 0; index < vmCount; index++) {
				if (state.isUp(index) && atMs >= limitedFromMs) {
					time.after(random.nextUnit() * stepMs, () => {
						requestPermit(index);
						if (isPlacing) {
							placeGeneration(index);
						}
					});
				}
			}
		}
	};

	const mostInWindow = () => {
		const sortedMs = [...arrivalsMs].sort((first, second) => first - second);
		let most = 0;
		let start = 0;
		for (const [index, atMs] of sortedMs.entries()) {
			while (sortedMs[start] <= atMs - windowMs) {
				start++;
			}

			most = Math.max(most, index - start + 1);
		}

		return most;
	};

	return {state, runUntil, mostInWindow, arrivalsMs, grantedByVm, deniedByVm};
}
