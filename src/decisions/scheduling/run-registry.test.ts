import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createRunRegistry} from './run-registry.js';
import type {RunState} from './types.js';

const run = (id: string, changes: Partial<RunState> = {}): RunState => ({
	id,
	targetId: 'e1',
	copyTargetId: undefined,
	promptTokens: 3000,
	doneTokens: 0,
	remainingTokens: 600,
	priority: 0,
	...changes,
});

test('guards against a run that is counted twice, or stays counted after its end', () => {
	const book = createRunRegistry(new VirtualTime());
	book.reserve('vm-1', run('q1'));
	book.set('vm-1', run('q1', {copyTargetId: 'e2'}));
	assert.equal(book.usageOf('e1').runCount, 1);
	assert.equal(book.usageOf('e1').pendingPromptTokens, 3000);
	assert.equal(book.usageOf('e2').runCount, 0);
	assert.equal(book.usageOf('e2').held.length, 1);
	book.set('vm-1', run('q1', {targetId: 'e2'}));
	assert.equal(book.usageOf('e1').held.length, 0);
	book.remove('vm-1', 'q1');
	assert.equal(book.usageOf('e2').held.length, 0);
});

test('guards against a heartbeat sent before a placement that forgets it', async () => {
	const time = new VirtualTime();
	const book = createRunRegistry(time);
	book.reserve('vm-1', run('q1'));
	book.replaceRuns('vm-1', []);
	assert.equal(book.usageOf('e1').runCount, 1);
	book.release('vm-1', 'q1');
	assert.equal(book.usageOf('e1').runCount, 0);
	book.reserve('vm-1', run('q2'));
	book.replaceRuns('vm-1', [run('q2', {doneTokens: 4})]);
	book.release('vm-1', 'q2');
	assert.equal(book.usageOf('e1').runCount, 1);
	book.replaceRuns('vm-1', []);
	assert.equal(book.usageOf('e1').runCount, 0);
});

test('guards against memory held by VMs that are gone', async () => {
	const time = new VirtualTime();
	const book = createRunRegistry(time);
	book.replaceRuns('vm-1', [run('q1')]);
	book.reserve('vm-2', run('q2'));
	await time.runUntil(1600);
	book.removeExpired();
	assert.equal(book.usageOf('e1').runCount, 1);
	await time.runUntil(3100);
	book.removeExpired();
	assert.equal(book.usageOf('e1').runCount, 0);
});

test('replay "an engine turns slow": its pace is learned from its own runs within two heartbeats', async () => {
	const time = new VirtualTime();
	const book = createRunRegistry(time);
	const usualMs = book.interTokenMs('e1');
	for (const [atMs, doneTokens] of [
		[1000, 20],
		[2000, 52],
		[3000, 84],
	] as const) {
		await time.runUntil(atMs);
		book.replaceRuns('vm-1', [run('q1', {doneTokens})]);
	}

	assert.ok(book.interTokenMs('e1') > 2 * usualMs);
	assert.equal(book.interTokenMs('e2'), usualMs);
});

test('guards against a forecast that stands still between two heartbeats', async () => {
	const time = new VirtualTime();
	const book = createRunRegistry(time);
	book.set('vm-1', run('q1', {doneTokens: 100, remainingTokens: 500}));
	await time.runUntil(900);
	const [held] = book.usageOf('e1').held;
	assert.equal(held.tokens, 3200);
	assert.equal(held.remainingTokens, 400);
});

test('guards against a forecast from a use that was worked out before the last change, or long ago', async () => {
	const time = new VirtualTime();
	const book = createRunRegistry(time);
	book.set('vm-1', run('q1', {doneTokens: 10}));
	const first = book.usageOf('e1');
	assert.equal(book.usageOf('e1'), first);
	book.set('vm-1', run('q2', {doneTokens: 10}));
	assert.equal(book.usageOf('e1').runCount, 2);
	book.remove('vm-1', 'q2');
	assert.equal(book.usageOf('e1').runCount, 1);
	const before = book.usageOf('e1').held[0].tokens;
	await time.runUntil(100);
	assert.ok(book.usageOf('e1').held[0].tokens > before);
});
