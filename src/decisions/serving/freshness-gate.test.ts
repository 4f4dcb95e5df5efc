import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from '../fleet/index.js';
import {createFreshnessGate} from './freshness-gate.js';

const maxAgeMs = 1800;

function start() {
	const time = new VirtualTime();
	const belief = createTableSyncTracker(time);
	let refreshes = 0;
	const gate = createFreshnessGate({
		timers: time,
		isFresh: () => belief.ageMs <= maxAgeMs,
		onConfirmed: belief.onConfirmed,
		refresh() {
			refreshes++;
		},
	});
	const passed: number[] = [];
	const pass = () =>
		gate.whenFresh(() => {
			passed.push(time.nowMs());
		});
	return {time, belief, pass, passed, refreshes: () => refreshes};
}

for (const pausedMs of [1000, 3000, 8000]) {
	test(`guards against a request that is sent on what was known before a pause of ${pausedMs} ms`, async () => {
		const {time, belief, pass, passed, refreshes} = start();
		belief.recordRead(5, 5);
		await time.runUntil(pausedMs);
		pass();
		if (pausedMs <= maxAgeMs) {
			assert.deepEqual(passed, [pausedMs]);
			return;
		}

		assert.deepEqual(passed, []);
		assert.equal(refreshes(), 1);
		await time.runUntil(pausedMs + 20);
		belief.recordRead(9, 9);
		assert.deepEqual(passed, [pausedMs + 20]);
		await time.runUntil(pausedMs + 1000);
		assert.equal(passed.length, 1);
	});
}

test('guards against holding requests for long while the store is away, and for callers that have left', async () => {
	const {time, pass, passed} = start();
	const left = pass();
	pass();
	left.dispose();
	await time.runUntil(300);
	assert.deepEqual(passed, [300]);
});
