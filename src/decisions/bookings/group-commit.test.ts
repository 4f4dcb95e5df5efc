import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeTableService, VirtualTime} from '../../experiments/fakes/index.js';
import {createGroupCommit} from './group-commit.js';

const write = (key: string) => ({
	checks: [{key, version: 0}],
	writes: [{key, value: 'x'}],
});

// The table service refuses a transaction that writes a key twice, so the second write of a key must
// wait. A write that does not fit into a full batch must not get lost.
test('writes of one key are committed separately and in order, none is lost, and a full queue refuses more', async () => {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 100});
	const group = createGroupCommit({
		table,
		clock: time,
		timers: time,
		spacingMs: 10,
		maxBatchWrites: 2,
		maxQueuedWrites: 4,
	});
	const results = Promise.all(
		['a', 'a', 'b', 'c'].map(async (key) => group.commit(write(key))),
	);
	await assert.rejects(group.commit(write('d')), {type: 'table-unavailable'});
	await time.runUntil(100);
	const settled = await results;
	assert.deepEqual(
		settled.map((result) => result.committed),
		[true, false, true, true],
	);
	assert.equal(table.counts.transactions, 2);
});
