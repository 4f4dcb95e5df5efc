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
	account: '',
	priority: 0,
	...changes,
});

test('counts a run once and removes it after its end, so that its memory does not stay taken', () => {
	const registry = createRunRegistry(new VirtualTime());
	registry.reserve('vm-1', run('q1'));
	registry.set('vm-1', run('q1', {copyTargetId: 'e2'}));
	assert.equal(registry.usageOf('e1').runCount, 1);
	assert.equal(registry.usageOf('e1').pendingPromptTokens, 3000);
	assert.equal(registry.usageOf('e2').runCount, 0);
	assert.equal(registry.usageOf('e2').held.length, 1);
	registry.set('vm-1', run('q1', {targetId: 'e2'}));
	assert.equal(registry.usageOf('e1').held.length, 0);
	registry.remove('vm-1', 'q1');
	assert.equal(registry.usageOf('e2').held.length, 0);
});

test('keeps a reservation when a heartbeat arrives that was sent before the placement', async () => {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	registry.reserve('vm-1', run('q1'));
	registry.replaceRuns('vm-1', []);
	assert.equal(registry.usageOf('e1').runCount, 1);
	registry.release('vm-1', 'q1');
	assert.equal(registry.usageOf('e1').runCount, 0);
	registry.reserve('vm-1', run('q2'));
	registry.replaceRuns('vm-1', [run('q2', {doneTokens: 4})]);
	registry.release('vm-1', 'q2');
	assert.equal(registry.usageOf('e1').runCount, 1);
	registry.replaceRuns('vm-1', []);
	assert.equal(registry.usageOf('e1').runCount, 0);
});

test('removes expired reservations and the runs of VMs that no longer report', async () => {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	registry.replaceRuns('vm-1', [run('q1')]);
	registry.reserve('vm-2', run('q2'));
	await time.runUntil(1600);
	registry.removeExpired();
	assert.equal(registry.usageOf('e1').runCount, 1);
	await time.runUntil(3100);
	registry.removeExpired();
	assert.equal(registry.usageOf('e1').runCount, 0);
});

test('measures the inter-token latency of an engine that has turned slow within two heartbeats', async () => {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	const usualMs = registry.interTokenMs('e1');
	for (const [atMs, doneTokens] of [
		[1000, 20],
		[2000, 52],
		[3000, 84],
	] as const) {
		await time.runUntil(atMs);
		registry.replaceRuns('vm-1', [run('q1', {doneTokens})]);
	}

	assert.ok(registry.interTokenMs('e1') > 2 * usualMs);
	assert.equal(registry.interTokenMs('e2'), usualMs);
});

test('extrapolates the memory of runs between heartbeats, in which they go on to grow', async () => {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	registry.set('vm-1', run('q1', {doneTokens: 100, remainingTokens: 500}));
	await time.runUntil(900);
	const [held] = registry.usageOf('e1').held;
	assert.equal(held.tokens, 3200);
	assert.equal(held.remainingTokens, 400);
});

test('does not return a cached usage after a change of the runs, or after some time', async () => {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	registry.set('vm-1', run('q1', {doneTokens: 10}));
	const first = registry.usageOf('e1');
	assert.equal(registry.usageOf('e1'), first);
	registry.set('vm-1', run('q2', {doneTokens: 10}));
	assert.equal(registry.usageOf('e1').runCount, 2);
	registry.remove('vm-1', 'q2');
	assert.equal(registry.usageOf('e1').runCount, 1);
	const before = registry.usageOf('e1').held[0].tokens;
	await time.runUntil(100);
	assert.ok(registry.usageOf('e1').held[0].tokens > before);
});
