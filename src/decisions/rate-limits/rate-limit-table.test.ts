import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fakeResponseHead, VirtualTime} from '../../experiments/fakes/index.js';
import {createRateLimitTable} from './rate-limit-table.js';
import type {RateLimitChange} from './types.js';

const limited = (requestsPerSecond: number) =>
	fakeResponseHead('q1', {rateLimit: {state: 'limited', requestsPerSecond}});
const unlimited = fakeResponseHead('q1');
const malformed = fakeResponseHead('q1', {
	rateLimit: {state: 'malformed', detail: ''},
});

function createTable() {
	const time = new VirtualTime();
	const table = createRateLimitTable(time);
	const changes: RateLimitChange[] = [];
	table.onChanged((change) => {
		changes.push(change);
	});
	return {time, table, changes};
}

test('reports each change of a limit once', async () => {
	const {time, table, changes} = createTable();
	table.recordResponse('t1', unlimited, 0);
	await time.runUntil(10);
	table.recordResponse('t1', limited(3.6), 0);
	await time.runUntil(20);
	table.recordResponse('t1', limited(3.6), 12);
	await time.runUntil(30);
	table.recordResponse('t1', unlimited, 25);
	assert.deepEqual(
		changes.map((change) => change.requestsPerSecond),
		[3.6, undefined],
	);
	assert.equal(table.limitOf('t1'), undefined);
});

test('a response that was overtaken by the one that names the limit does not lift it', async () => {
	const {time, table} = createTable();
	await time.runUntil(100);
	table.recordResponse('t1', limited(2), 50);
	table.recordResponse('t1', unlimited, 60);
	assert.equal(table.limitOf('t1'), 2);
});

test('a limit that cannot be read leaves the known one in force', async () => {
	const {time, table} = createTable();
	await time.runUntil(10);
	table.recordResponse('t1', limited(2), 0);
	await time.runUntil(30);
	table.recordResponse('t1', malformed, 20);
	assert.equal(table.limitOf('t1'), 2);
});

test('an older report of another VM restores neither a lifted limit nor that of a restarted target', async () => {
	const {time, table} = createTable();
	await time.runUntil(100);
	table.recordResponse('t1', limited(2), 50);
	table.recordResponse('t2', limited(2), 50);
	await time.runUntil(200);
	table.recordResponse('t1', unlimited, 150);
	table.forget('t2');
	for (const targetId of ['t1', 't2']) {
		table.recordReport({targetId, requestsPerSecond: 2, ageMs: 100});
		assert.equal(table.limitOf(targetId), undefined);
	}

	table.recordReport({targetId: 't1', requestsPerSecond: 4, ageMs: 10});
	assert.equal(table.limitOf('t1'), 4);
});

test('forgets a lifted limit after some time', async () => {
	const {time, table} = createTable();
	await time.runUntil(10);
	table.recordResponse('t1', limited(2), 0);
	await time.runUntil(20);
	table.recordResponse('t1', unlimited, 15);
	assert.equal(table.reports().length, 1);
	await time.runUntil(20_000);
	assert.deepEqual(table.reports(), []);
});

test('a response that another target or a proxy made neither sets nor lifts a limit', async () => {
	const {time, table} = createTable();
	await time.runUntil(10);
	table.recordResponse('t1', limited(2), 0);
	await time.runUntil(30);
	table.recordResponse('t1', {...unlimited, isFromTarget: false}, 20);
	table.recordResponse('t1', {...limited(9), status: 421}, 20);
	assert.equal(table.limitOf('t1'), 2);
	const refusal = {status: 503, isFromTarget: false, notExecuted: true};
	table.recordResponse('t1', {...unlimited, ...refusal}, 20);
	assert.equal(table.limitOf('t1'), undefined);
});
