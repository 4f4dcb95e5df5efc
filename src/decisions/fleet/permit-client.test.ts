import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import {createMemberList} from './member-list.js';
import {createPermitClient} from './permit-client.js';
import type {MemberInfo} from './types.js';

const target = {targetId: 't1', requestsPerSecond: 4};
const windowMs = 4000;
const latencyMs = 2;
const stepMs = 50;
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
 * Simulates VMs that request a permit every 50 ms each, on a network whose links and loss the test sets.
 * Dead VMs neither request nor respond.
 */
function createFleet(vmCount: number, seed = 1) {
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
			limitOf: () => target.requestsPerSecond,
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

	const runUntil = async (untilMs: number) => {
		for (let atMs = time.nowMs(); atMs < untilMs; atMs += stepMs) {
			await time.runUntil(atMs);
			if (atMs % contactIntervalMs === 0) {
				exchangeContacts();
			}

			for (let index = 0; index < vmCount; index++) {
				if (state.isUp(index)) {
					time.after(random.nextUnit() * stepMs, () => {
						requestPermit(index);
					});
				}
			}
		}
	};

	const mostInWindow = () =>
		Math.max(
			...arrivalsMs.map(
				(startMs) =>
					arrivalsMs.filter(
						(atMs) => atMs >= startMs && atMs < startMs + windowMs,
					).length,
			),
		);

	return {state, runUntil, mostInWindow, arrivalsMs, grantedByVm, deniedByVm};
}

const allowedByRate = (target.requestsPerSecond * windowMs) / 1000;
/** Requests that the rate allows in a window, with the turn ahead and one under way. */
const allowedInCalm = allowedByRate + 2;
/** Requests that a target tolerates in a window. */
const tolerated = 1.5 * allowedByRate + 5;

test('six VMs together use the whole rate of a target and not more', async () => {
	const {runUntil, mostInWindow, arrivalsMs, grantedByVm} = createFleet(6);
	await runUntil(20_000);
	assert.ok(mostInWindow() <= allowedInCalm, `${mostInWindow()}`);
	assert.ok(arrivalsMs.length > 15 * target.requestsPerSecond);
	assert.ok(grantedByVm.every((count) => count > 0));
});

for (const [name, vmCount, change] of [
	['the coordinator is killed', 6, {isUp: (vm: number) => vm > 0}],
	['the first two VMs are killed', 6, {isUp: (vm: number) => vm > 1}],
	[
		'the network is partitioned',
		6,
		{isLinked: (from: number, to: number) => from < 3 === to < 3},
	],
	[
		'a VM loses its peers',
		6,
		{isLinked: (from: number, to: number) => from > 0 === to > 0},
	],
	['one datagram in five is lost', 6, {lossFraction: 0.2}],
	['no datagram arrives', 30, {lossFraction: 1}],
	['the coordinator of 195 VMs is killed', 195, {isUp: (vm: number) => vm > 0}],
] as const) {
	test(`the VMs together keep to the rate of a target when ${name}`, async () => {
		const fleet = createFleet(vmCount);
		await fleet.runUntil(6000);
		const before = fleet.arrivalsMs.length;
		Object.assign(fleet.state, change);
		await fleet.runUntil(14_000);
		assert.ok(fleet.mostInWindow() <= tolerated, `${fleet.mostInWindow()}`);
		assert.ok(fleet.arrivalsMs.length > before, 'no request is sent any more');
	});
}

test('all VMs restart one after the other and keep to the rate of a target', async () => {
	const fleet = createFleet(4);
	for (let round = 0; round < 4; round++) {
		fleet.state.isUp = (vm) => vm !== round;
		await fleet.runUntil(4000 * round + 2000);
		fleet.state.isUp = () => true;
		await fleet.runUntil(4000 * round + 4000);
	}

	assert.ok(fleet.mostInWindow() <= tolerated, `${fleet.mostInWindow()}`);
});

test('VMs that start at the same time and do not know of each other yet hold back', async () => {
	const fleet = createFleet(6);
	fleet.state.isLinked = (from, to) => from === to;
	await fleet.runUntil(4000);
	assert.ok(fleet.mostInWindow() <= tolerated, `${fleet.mostInWindow()}`);
});
