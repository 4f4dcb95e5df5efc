import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createMemberList} from './member-list.js';
import type {MemberMark} from './types.js';

const member = (
	address: string,
	changes: Partial<MemberMark> = {},
): MemberMark => ({
	address,
	availabilityZone: 'zone-1',
	instanceId: 'i',
	powerMs: 324,
	reading: 'idle',
	...changes,
});

const addressesOf = (members: readonly MemberMark[]) =>
	members.map(({address}) => address);

test('guards against two VMs that place generations for all at the same time', async () => {
	const time = new VirtualTime();
	const first = createMemberList(time, member('a'));
	const second = createMemberList(time, member('b'));
	assert.equal(first.isCoordinator, false);
	for (let atMs = 500; atMs <= 3000; atMs += 500) {
		await time.runUntil(atMs);
		first.heard(member('b'), 0);
		second.heard(member('a'), 0);
		assert.equal(second.isCoordinator, false);
	}

	assert.equal(first.isCoordinator, true);
});

test('guards against duties on a weak VM while a strong one is there', () => {
	const members = createMemberList(new VirtualTime(), member('a'));
	members.heard(member('c', {powerMs: 1350}), 0);
	members.heard(member('b'), 0);
	assert.deepEqual(addressesOf(members.ranked()), ['c', 'a', 'b']);
	assert.deepEqual(addressesOf(members.accountants()), ['c', 'a']);
});

test('replay "the coordinator is killed": the next in order follows once it knows what the others run', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('b'));
	members.heard(member('a'), 0);
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
	members.heard(member('a'), 0);
	members.heard(member('b'), 0);
	members.suspect('a');
	assert.equal(members.coordinator.address, 'b');
	await time.runUntil(100);
	members.heard(member('a'), 0);
	assert.equal(members.coordinator.address, 'a');
});

test('guards against a VM that acts on a duty after it was paused', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	members.heard(member('b'), 0);
	await time.runUntil(1300);
	members.heard(member('b'), 0);
	assert.equal(members.isCoordinator, true);
	await time.runUntil(4300);
	members.paused();
	assert.equal(members.isCoordinator, false);
	await time.runUntil(5600);
	assert.equal(members.isCoordinator, true);
});

test('guards against nobody reading the store when the first VMs lose it, and against all trying an outage', () => {
	const time = new VirtualTime();
	const third = createMemberList(time, member('c'));
	third.heard(member('a', {reading: 'reading'}), 0);
	third.heard(member('b', {reading: 'reading'}), 0);
	assert.equal(third.isReader('idle'), false);
	third.heard(member('b', {reading: 'lost'}), -1);
	assert.equal(third.isReader('idle'), true);

	const last = createMemberList(time, member('z'));
	for (const address of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
		last.heard(member(address, {reading: 'lost'}), 0);
	}

	assert.equal(last.isReader('idle'), false);
	assert.equal(last.isReader('lost'), false);
});

test('guards against an outage of the store that is taken for the trouble of one VM, and the other way round', () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	for (const address of ['b', 'c', 'd']) {
		members.heard(member(address), 0);
	}

	assert.equal(members.areReadersLost('reading'), false);
	assert.equal(members.areReadersLost('lost'), false);
	members.heard(member('b', {reading: 'lost'}), -1);
	assert.equal(members.areReadersLost('reading'), false);
	assert.equal(members.areReadersLost('lost'), true);
	assert.equal(
		createMemberList(time, member('a')).areReadersLost('lost'),
		true,
	);
});

test('guards against a retry budget shared by too few VMs after most fell silent', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	members.counted(195);
	await time.runUntil(10_000);
	assert.equal(members.vmCount, 195);
	members.counted(3);
	assert.equal(members.vmCount, 195);
	await time.runUntil(41_000);
	members.counted(3);
	assert.equal(members.vmCount, 3);
});

test('guards against VMs that have just started, hear nobody yet, and each take the whole share of repeated sends (fault soak, run 166317)', async () => {
	const time = new VirtualTime();
	const members = createMemberList(time, member('a'));
	await time.runUntil(2000);
	assert.equal(members.settledCount, undefined);
	members.heard(member('b'), 0);
	members.counted(3);
	assert.equal(members.settledCount, 3);
	const alone = createMemberList(time, member('c'));
	await time.runUntil(9000);
	assert.equal(alone.settledCount, undefined);
	await time.runUntil(10_500);
	assert.equal(alone.settledCount, 1);
	const found = createMemberList(time, member('d'));
	found.heard(member('b'), 0);
	assert.equal(found.settledCount, undefined);
});
