import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from '../fleet/index.js';
import {createFreshnessGate} from './freshness-gate.js';

const maxAgeMs = 1800;

function start() {
	const time = new VirtualTime();
	const syncTracker = createTableSyncTracker(time);
	let refreshCount = 0;
	const gate = createFreshnessGate({
		timers: time,
		isFresh: () => syncTracker.ageMs <= maxAgeMs,
		onConfirmed: syncTracker.onConfirmed,
		refresh() {
			refreshCount++;
		},
	});
	const passedMs: number[] = [];
	const wait = () =>
		gate.whenFresh(() => {
			passedMs.push(time.nowMs());
		});
	return {time, syncTracker, wait, passedMs, refreshCount: () => refreshCount};
}

for (const pausedMs of [1000, 3000, 8000]) {
	test(`after a pause of ${pausedMs} ms, no request goes to a target that may have left during the pause`, async () => {
		const {time, syncTracker, wait, passedMs, refreshCount} = start();
		syncTracker.recordSnapshot(storeRevision(5));
		await time.runUntil(pausedMs);
		wait();
		if (pausedMs <= maxAgeMs) {
			assert.deepEqual(passedMs, [pausedMs]);
			return;
		}

		assert.deepEqual(passedMs, []);
		assert.equal(refreshCount(), 1);
		await time.runUntil(pausedMs + 20);
		syncTracker.recordSnapshot(storeRevision(9));
		assert.deepEqual(passedMs, [pausedMs + 20]);
		await time.runUntil(pausedMs + 1000);
		assert.equal(passedMs.length, 1);
	});
}

test('lets a request pass after 300 ms without a confirmation, unless it was cancelled', async () => {
	const {time, wait, passedMs} = start();
	const left = wait();
	wait();
	left.dispose();
	await time.runUntil(300);
	assert.deepEqual(passedMs, [300]);
});
