import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeProcess, FakeTableService, VirtualTime} from './index.js';

const write = (key: string, version = 0) => [
	{checks: [{key, version}], writes: [{key, value: 'x'}]},
];

// If the fake dropped such a write or applied it at once, the soak could not find callers that take its
// error for a proof that nothing was written.
test('a write with a late effect is applied after its call failed', async () => {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 50});
	table.planCommitFault({kind: 'late-effect', delayMs: 100});
	const failed = assert.rejects(table.commit(write('a')), {
		type: 'table-outcome-unknown',
	});
	await time.runUntil(10);
	await failed;
	assert.equal(table.peek('a'), undefined);
	await time.runUntil(200);
	assert.equal(table.peek('a')?.value, 'x');
});

// A crashed process must not continue past the boundary at which it crashed, and a paused one must
// continue when its pause ends.
test('crashes and pauses take effect at step boundaries', async () => {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 50});
	const crashing = new FakeProcess(time);
	crashing.planFault({atStep: 1, kind: 'crash', pauseMs: 0});
	const pausing = new FakeProcess(time);
	pausing.planFault({atStep: 1, kind: 'pause', pauseMs: 1000});
	const completed: string[] = [];
	const run = async (process: FakeProcess, key: string) => {
		await process.wrap(table).commit(write(key));
		completed.push(`${key} at ${time.nowMs()}`);
	};

	void run(crashing, 'a');
	void run(pausing, 'b');
	await time.runUntil(5000);
	assert.deepEqual(completed, ['b at 1004']);
	assert.equal(table.peek('a')?.value, 'x');
});
