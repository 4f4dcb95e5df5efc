import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createReceiveMemory} from './receive-memory.js';

const maxBytes = 100_000;

function createFixture() {
	const time = new VirtualTime();
	const memory = createReceiveMemory({maxBytes, timers: time});
	const closed: string[] = [];
	const resumed: string[] = [];
	const receiver = (name: string, address: string) => ({
		address,
		resume() {
			resumed.push(name);
		},
		close() {
			closed.push(name);
		},
	});
	return {time, memory, closed, resumed, receiver};
}

test('half-sent requests of a crowd are closed before a larger one of another address', () => {
	const {memory, closed, receiver} = createFixture();
	memory.set(receiver('caller', 'b'), 70_000);
	memory.set(receiver('crowd-1', 'a'), 35_000);
	memory.set(receiver('crowd-2', 'a'), 40_000);
	assert.deepEqual(closed, []);
	memory.set(receiver('crowd-3', 'a'), 10_000);
	assert.deepEqual(closed, ['crowd-2']);
	assert.equal(memory.totalBytes, 115_000);
});

test('a large request waits while the memory is used up, and goes on when there is some', () => {
	const {memory, resumed, receiver} = createFixture();
	const first = receiver('first', 'a');
	const second = receiver('second', 'a');
	memory.set(first, 60_000);
	memory.set(second, 50_000);
	assert.equal(memory.mayReceive(second), false);
	memory.set(first, 0);
	assert.deepEqual(resumed, ['second']);
	assert.equal(memory.mayReceive(second), true);
});

test('a small request is received although large ones wait', () => {
	const {memory, receiver} = createFixture();
	const crowd = receiver('crowd', 'a');
	memory.set(crowd, 120_000);
	assert.equal(memory.mayReceive(crowd), false);
	const caller = receiver('caller', 'b');
	memory.set(caller, 16_384);
	assert.equal(memory.mayReceive(caller), true);
});

test('half-sent requests do not make large ones wait for ever', async () => {
	const {time, memory, closed, resumed, receiver} = createFixture();
	memory.set(receiver('crowd-1', 'a'), 55_000);
	memory.set(receiver('crowd-2', 'a'), 60_000);
	const caller = receiver('caller', 'b');
	memory.set(caller, 33_000);
	assert.equal(memory.mayReceive(caller), false);
	await time.runUntil(900);
	assert.deepEqual(closed, []);
	await time.runUntil(1100);
	assert.deepEqual(closed, ['crowd-2']);
	assert.deepEqual(resumed, ['caller']);
	await time.runUntil(5000);
	assert.deepEqual(closed, ['crowd-2']);
});

test('a connection that closes while it waits is not resumed', () => {
	const {memory, resumed, receiver} = createFixture();
	const other = receiver('other', 'a');
	const gone = receiver('gone', 'a');
	memory.set(other, 60_000);
	memory.set(gone, 60_000);
	assert.equal(memory.mayReceive(gone), false);
	memory.set(gone, 0);
	memory.set(other, 0);
	assert.deepEqual(resumed, []);
	assert.equal(memory.totalBytes, 0);
});
