import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeProcess, FakeTableService, VirtualTime} from './index.js';

const write = (key: string, version = 0) => [
	{checks: [{key, version}], writes: [{key, value: 'x'}]},
];

// Guards against a fake that hides the case in which a failed write still takes effect.
test('a late effect follows after the caller got its error', async () => {
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

// Guards against a crashed VM that goes on working, and a paused one that never resumes.
test('crashes and pauses hit at step boundaries', async () => {
	const time = new VirtualTime();
	const table = new FakeTableService(time, {latencyMs: 4, timeoutMs: 50});
	const crashing = new FakeProcess(time);
	crashing.planFault({atStep: 1, kind: 'crash', pauseMs: 0});
	const pausing = new FakeProcess(time);
	pausing.planFault({atStep: 1, kind: 'pause', pauseMs: 1000});
	const seen: string[] = [];
	const run = async (process: FakeProcess, key: string) => {
		await process.wrap(table).commit(write(key));
		seen.push(`${key} at ${time.nowMs()}`);
	};

	void run(crashing, 'a');
	void run(pausing, 'b');
	await time.runUntil(5000);
	assert.deepEqual(seen, ['b at 1004']);
	assert.equal(table.peek('a')?.value, 'x');
});
