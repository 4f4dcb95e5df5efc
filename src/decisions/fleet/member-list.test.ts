import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createMemberList} from './member-list.js';
import type {MemberInfo} from './types.js';

const member = (
	address: string,
	changes: Partial<MemberInfo> = {},
): MemberInfo => ({
	address,
	availabilityZone: 'zone-1',
	instanceId: 'i',
	cpuMsPerSecond: 324,
	storeReadState: 'idle',
	...changes,
});

const addressesOf = (members: readonly MemberInfo[]) =>
	members.map(({address}) => address);

test('guards against two VMs that place generations for all at the same time', async () => {
	const time = new VirtualTime();
	const first = createMemberList(time, member('a'));
	const second = createMemberList(time, member('b'));
	assert.equal(first.isCoordinator, false);
	for (let atMs = 500; atMs <= 3000; atMs += 500) {
		await time.runUntil(atMs);
		first.recordSeen(member('b'), 0);
		second.recordSeen(member('a'), 0);
		assert.equal(second.isCoordinator, false);
	}

	assert.equal(first.isCoordinator, true);
});

test('guards against duties on a weak VM while a strong one is there', () => {
	const members = createMemberList(new VirtualTime(), member('a'));
	members.recordSeen(member('c', {cpuMsPerSecond: 1350}), 0);
	members.recordSeen(member('b'), 0);
	assert.deepEqual(addressesOf(members.rankedMembers()), ['c', 'a', 'b']);
	assert.deepEqual(addressesOf(members.coordinatorAndStandby()), ['c', 'a']);
});

test('replay "the coordinator is killed": the next in order follows once it knows what the others run', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('b'));
	members.recordSeen(member('a'), 0);
	await time.runUntil(2000);
	assert.equal(members.coordinator.address, 'a');
	await time.runUntil(2600);
	assert.equal(members.coordinator.address, 'b');
	assert.equal(members.isCoordinator, false);
	await time.runUntil(3900);
	assert.equal(members.isCoordinator, true);
});

test('replay "the coordinator is frozen": one that does not answer loses its duties before it counts as gone', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('c'));
	members.recordSeen(member('a'), 0);
	members.recordSeen(member('b'), 0);
	members.suspect('a');
	assert.equal(members.coordinator.address, 'b');
	await time.runUntil(100);
	members.recordSeen(member('a'), 0);
	assert.equal(members.coordinator.address, 'a');
});

test('guards against a VM that acts on a duty after it was paused', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	members.recordSeen(member('b'), 0);
	await time.runUntil(1300);
	members.recordSeen(member('b'), 0);
	assert.equal(members.isCoordinator, true);
	await time.runUntil(4300);
	members.handlePause();
	assert.equal(members.isCoordinator, false);
	await time.runUntil(5600);
	assert.equal(members.isCoordinator, true);
});

test('guards against nobody reading the store when the first VMs lose it, and against all trying an outage', () => {
	const time = new VirtualTime();
	const third = createMemberList(time, member('c'));
	third.recordSeen(member('a', {storeReadState: 'reading'}), 0);
	third.recordSeen(member('b', {storeReadState: 'reading'}), 0);
	assert.equal(third.isStoreReader('idle'), false);
	third.recordSeen(member('b', {storeReadState: 'lost'}), -1);
	assert.equal(third.isStoreReader('idle'), true);

	const last = createMemberList(time, member('z'));
	for (const address of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
		last.recordSeen(member(address, {storeReadState: 'lost'}), 0);
	}

	assert.equal(last.isStoreReader('idle'), false);
	assert.equal(last.isStoreReader('lost'), false);
});

test('guards against an outage of the store that is taken for the trouble of one VM, and the other way round', () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	for (const address of ['b', 'c', 'd']) {
		members.recordSeen(member(address), 0);
	}

	assert.equal(members.haveReadersLostStore('reading'), false);
	assert.equal(members.haveReadersLostStore('lost'), false);
	members.recordSeen(member('b', {storeReadState: 'lost'}), -1);
	assert.equal(members.haveReadersLostStore('reading'), false);
	assert.equal(members.haveReadersLostStore('lost'), true);
	assert.equal(
		createMemberList(time, member('a')).haveReadersLostStore('lost'),
		true,
	);
});

test('guards against a retry budget shared by too few VMs after most fell silent', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	members.recordVmCount(195);
	await time.runUntil(10_000);
	assert.equal(members.vmCount, 195);
	members.recordVmCount(3);
	assert.equal(members.vmCount, 195);
	await time.runUntil(41_000);
	members.recordVmCount(3);
	assert.equal(members.vmCount, 3);
});

test('guards against VMs that have just started, hear nobody yet, and each take the whole share of repeated sends (fault soak, run 166317)', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	await time.runUntil(2000);
	assert.equal(members.settledVmCount, undefined);
	members.recordSeen(member('b'), 0);
	members.recordVmCount(3);
	assert.equal(members.settledVmCount, 3);
	const alone = createMemberList(time, member('c'));
	await time.runUntil(9000);
	assert.equal(alone.settledVmCount, undefined);
	await time.runUntil(10_500);
	assert.equal(alone.settledVmCount, 1);
	const found = createMemberList(time, member('d'));
	found.recordSeen(member('b'), 0);
	assert.equal(found.settledVmCount, undefined);
});
