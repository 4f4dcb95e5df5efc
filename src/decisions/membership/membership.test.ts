import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource, type VmEntry} from '../../common/index.js';
import {createMembership} from './membership.js';
import {createLeavingTargets} from './leaving-targets.js';
import {packMessage, unpackMessage} from './message-codec.js';
import type {MembershipMessage, SharedEntry} from './types.js';

const vm = (name: string, overrides: Partial<VmEntry> = {}): VmEntry => ({
	instanceId: `${name}-1`,
	role: 'entry',
	name,
	availabilityZone: 'zone-1',
	region: 'region-1',
	address: '127.0.0.1:1',
	state: 'live',
	...overrides,
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

// A late message must not replace newer values with older ones. Values of an earlier process of the VM are older
// even if their counter is higher.
test('keeps the newest entry by incarnation, then by counter', () => {
	const membership = createVm('a');
	const acceptedValues: number[] = [];
	membership.onEntryAccepted((entry) => acceptedValues.push(entry.values[0]));
	const endedProcesses: string[] = [];
	membership.onProcessEnded((name) => endedProcesses.push(name));
	membership.handleRequest(message('b', [usage(1, 5)]), 1);
	membership.handleRequest(message('c', [usage(1, 4)]), 2);
	membership.handleRequest(message('c', [usage(2, 1)]), 3);
	membership.handleRequest(message('b', [usage(1, 9)]), 4);
	assert.deepEqual(acceptedValues, [5, 1]);
	assert.deepEqual(endedProcesses, ['b']);
});

// If the clock of an earlier process was ahead, its incarnation is higher than that of the restarted process, whose
// entries peers would ignore.
test('raises its incarnation above that of an earlier process whose clock was ahead', () => {
	const membership = createVm('b', 10);
	membership.publish('usage', 'account', [1]);
	const response = membership.handleRequest(message('a', [usage(50, 3)]), 1);
	assert.equal(response.from.incarnation, 51);
	assert.equal(response.entries[0].incarnation, 51);
});

// A VM is live even if its heartbeats arrive only through other VMs, but repeating an old heartbeat must not
// keep it live. A VM that is still on the VM list must become silent when no heartbeats arrive.
test('derives live, suspect and silent from the time of the latest heartbeat', () => {
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

// A message must be decoded to what was encoded, and a malformed one must end in a typed error rather than
// reach the state machine.
test('decodes encoded messages and rejects malformed ones with a peer-protocol error', () => {
	const packed = packMessage(message('b', [usage(1, 5)]));
	assert.deepEqual(unpackMessage(packed), {
		...message('b', [usage(1, 5)]),
		senderAddress: undefined,
	});
	for (const malformed of [
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
		assert.throws(() => unpackMessage(malformed), {type: 'peer-protocol'});
	}

	assert.throws(() => createVm('a').handleRequest(message('a', []), 1), {
		type: 'peer-protocol',
	});
});

// Whether an account has reached its floor is judged by the charged tokens, so these must not be rounded. The
// other values must not drift when an entry is encoded again at each VM that passes it on.
test('usage text keeps charged tokens exact and rounds the other values only once', () => {
	const values = [29_000_000, 123_457, 1234.5, 0.1, 0];
	const sent = message('b', [
		{...usage(1, 40_000), values},
		{...usage(1, 2), key: 'other', values: [28_999_999, 5, 0, 7, 9e9]},
	]);
	const received = unpackMessage(packMessage(sent));
	assert.deepEqual(unpackMessage(packMessage(received)), received);
	const [first, second] = received.entries;
	assert.equal(first.counter, 40_000);
	assert.deepEqual(first.values.slice(0, 2), values.slice(0, 2));
	assert.deepEqual(second.values.slice(0, 3), [28_999_999, 5, 0]);
	for (const [index, value] of values.entries()) {
		assert.ok(Math.abs(first.values[index] - value) <= 0.005 * value);
	}
});

// A report that a target is leaving must reach other VMs and must expire, so that the target's next instance gets
// work. If the VM list shows a new instance shortly after the report, the report may come from that instance and
// still counts for some seconds.
test('a leaving report reaches other VMs and lapses with the instance or with time', () => {
	const membership = createVm('a');
	const clock = {ms: 1000};
	const leavingTargets = createLeavingTargets(membership, () => clock.ms);
	const engine = (instanceId: string) =>
		vm('engine-1', {role: 'engine', instanceId});
	leavingTargets.recordVmList([engine('one')], 1000);
	leavingTargets.recordLeaving('engine-1', 2000);
	assert.equal(leavingTargets.targetIds.has('engine-1'), true);
	const [sent] = membership.tick(3000);
	assert.equal(sent.message.entries[0].key, 'engine-1 one');

	const other = createVm('b');
	const otherLeavingTargets = createLeavingTargets(other, () => clock.ms);
	otherLeavingTargets.recordVmList([engine('one')], 1000);
	other.handleRequest(sent.message, 3000);
	assert.equal(otherLeavingTargets.targetIds.has('engine-1'), true);
	otherLeavingTargets.recordVmList([engine('two')], 4000);
	clock.ms = 11_000;
	otherLeavingTargets.expire(clock.ms);
	assert.equal(otherLeavingTargets.targetIds.has('engine-1'), true);
	clock.ms = 13_000;
	otherLeavingTargets.expire(clock.ms);
	assert.equal(otherLeavingTargets.targetIds.has('engine-1'), false);
	clock.ms = 200_000;
	leavingTargets.expire(clock.ms);
	assert.equal(leavingTargets.targetIds.size, 0);
});
