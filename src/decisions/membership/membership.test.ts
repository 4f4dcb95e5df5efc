import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource, type VmEntry} from '../../common/index.js';
import {createMembership} from './membership.js';
import {createLeavingTargets} from './leaving-targets.js';
import {packMessage, unpackMessage} from './message-codec.js';
import type {MembershipMessage, SharedEntry} from './types.js';

const vm = (name: string, over: Partial<VmEntry> = {}): VmEntry => ({
	instanceId: `${name}-1`,
	role: 'entry',
	name,
	availabilityZone: 'zone-1',
	region: 'region-1',
	address: '127.0.0.1:1',
	state: 'live',
	...over,
});

function createVm(name: string, incarnation = 1) {
	const membership = createMembership({
		self: vm(name),
		incarnation,
		random: new SeededRandomSource(1),
		configurationVersion: () => 0,
		stopping: () => false,
	});
	membership.recordVmList([vm('a'), vm('b'), vm('c')], 0);
	return membership;
}

const message = (
	from: string,
	entries: SharedEntry[],
	incarnation = 1,
): MembershipMessage => ({
	from: {name: from, incarnation, counter: 1},
	configurationVersion: 0,
	stopping: false,
	heartbeats: [],
	entries,
});

const usage = (incarnation: number, counter: number): SharedEntry => ({
	scope: 'b',
	kind: 'usage',
	key: 'account',
	incarnation,
	counter,
	values: [counter],
});

// Guards against older values that arrive late and replace newer ones, also those of an earlier process.
test('keeps the newest entry by incarnation and counter', () => {
	const membership = createVm('a');
	const seen: number[] = [];
	membership.onEntryAccepted((entry) => seen.push(entry.values[0]));
	const forgotten: string[] = [];
	membership.onProcessEnded((name) => forgotten.push(name));
	membership.handleRequest(message('b', [usage(1, 5)]), 1);
	membership.handleRequest(message('c', [usage(1, 4)]), 2);
	membership.handleRequest(message('c', [usage(2, 1)]), 3);
	membership.handleRequest(message('b', [usage(1, 9)]), 4);
	assert.deepEqual(seen, [5, 1]);
	assert.deepEqual(forgotten, ['b']);
});

// Guards against a restarted process whose values lose against those of its earlier run.
test('outbids an earlier run whose clock was ahead', () => {
	const membership = createVm('b', 10);
	membership.publish('usage', 'account', [1]);
	const reply = membership.handleRequest(message('a', [usage(50, 3)]), 1);
	assert.equal(reply.from.incarnation, 51);
	assert.equal(reply.entries[0].incarnation, 51);
});

// Guards against suspecting a VM that others hear, and against trusting the list over silence.
test('tells live, suspect and silent VMs apart', () => {
	const {directory} = createVm('a');
	directory.recordHeartbeat(
		{name: 'b', incarnation: 1, counter: 9},
		false,
		20_000,
	);
	directory.recordHeartbeat(
		{name: 'b', incarnation: 1, counter: 9},
		false,
		40_000,
	);
	assert.equal(directory.stateOf('b', 25_000), 'live');
	assert.equal(directory.stateOf('b', 40_000), 'suspect');
	assert.equal(directory.stateOf('c', 40_000), 'silent');
	assert.deepEqual(directory.recordVmList([vm('b')], 70_000), ['c']);
});

// Guards against a malformed message that changes state or ends in an untyped failure.
test('refuses malformed messages with a typed error', () => {
	const packed = packMessage(message('b', [usage(1, 5)]));
	assert.deepEqual(unpackMessage(packed), {
		...message('b', [usage(1, 5)]),
		introduction: undefined,
	});
	for (const wrong of [
		undefined,
		{},
		[],
		packed.slice(0, 3),
		[['b', -1, 1], ...packed.slice(1)],
		[...packed.slice(0, 4), [['b', 1, '', ['x', 'account', 1]]], 0],
		[...packed.slice(0, 4), [['b', 1, '', ['u', 'account', 1, 'many']]], 0],
		[...packed.slice(0, 4), [['b', 1, '7account1']], 0],
		[...packed.slice(0, 4), [['b', 1, '7account10!000000']], 0],
	]) {
		assert.throws(() => unpackMessage(wrong), {type: 'peer-protocol'});
	}

	assert.throws(() => createVm('a').handleRequest(message('a', []), 1), {
		type: 'peer-protocol',
	});
});

// Guards against rounding of what floors count, and against figures that drift as they are passed on.
test('usage text keeps charged tokens exact and rounds the others once', () => {
	const values = [29_000_000, 123_457, 1234.5, 0.1, 0];
	const sent = message('b', [
		{...usage(1, 40_000), values},
		{...usage(1, 2), key: 'other', values: [28_999_999, 5, 0, 7, 9e9]},
	]);
	const once = unpackMessage(packMessage(sent));
	assert.deepEqual(unpackMessage(packMessage(once)), once);
	const [first, second] = once.entries;
	assert.equal(first.counter, 40_000);
	assert.deepEqual(first.values.slice(0, 2), values.slice(0, 2));
	assert.deepEqual(second.values.slice(0, 3), [28_999_999, 5, 0]);
	for (const [index, value] of values.entries()) {
		assert.ok(Math.abs(first.values[index] - value) <= 0.005 * value);
	}
});

// Guards against a mark that keeps out the target's next instance, against one that is lost because the VM
// list showed the instance that gave the sign only later, and against one that does not travel.
test('a mark holds for the instance that leaves', () => {
	const membership = createVm('a');
	const wall = {ms: 1000};
	const marks = createLeavingTargets(membership, () => wall.ms);
	const engine = (instanceId: string) =>
		vm('engine-1', {role: 'engine', instanceId});
	marks.recordVmList([engine('one')], 1000);
	marks.recordLeaving('engine-1', 2000);
	assert.equal(marks.targetIds.has('engine-1'), true);
	const [sent] = membership.tick(3000);
	assert.equal(sent.message.entries[0].key, 'engine-1 one');

	const other = createVm('b');
	const otherMarks = createLeavingTargets(other, () => wall.ms);
	otherMarks.recordVmList([engine('one')], 1000);
	other.handleRequest(sent.message, 3000);
	assert.equal(otherMarks.targetIds.has('engine-1'), true);
	otherMarks.recordVmList([engine('two')], 4000);
	wall.ms = 11_000;
	otherMarks.expire(wall.ms);
	assert.equal(otherMarks.targetIds.has('engine-1'), true);
	wall.ms = 13_000;
	otherMarks.expire(wall.ms);
	assert.equal(otherMarks.targetIds.has('engine-1'), false);
	wall.ms = 200_000;
	marks.expire(wall.ms);
	assert.equal(marks.targetIds.size, 0);
});
