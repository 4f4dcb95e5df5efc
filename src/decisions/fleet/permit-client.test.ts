import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPermitFleet} from '../../experiments/fakes/index.js';

const target = {targetId: 't1', requestsPerSecond: 4};
const windowMs = 4000;
const createFleet = (vmCount: number) =>
	createPermitFleet({vmCount, target, windowMs});

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
