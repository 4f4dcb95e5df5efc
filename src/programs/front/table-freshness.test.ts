import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTableSyncTracker} from '../../decisions/fleet/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableFreshnessGate} from './table-freshness.js';

test("after a pause no request is sent before the operator's table is confirmed too, as a zone may have been evacuated meanwhile", async () => {
	const time = new VirtualTime();
	const targetsSync = createTableSyncTracker(time);
	const configurationSync = createTableSyncTracker(time);
	let resumedMs = -Infinity;
	const refreshed: string[] = [];
	const gate = createTableFreshnessGate({
		clock: time,
		timers: time,
		storeWatch: {
			targetsSync,
			configurationSync,
			isStoreLost: false,
			refreshTargets() {
				refreshed.push('targets');
			},
			refreshConfiguration() {
				refreshed.push('configuration');
			},
		},
		resumedMs: () => resumedMs,
	});
	const sentMs: number[] = [];
	const request = () => {
		gate.whenFresh(() => {
			sentMs.push(time.nowMs());
		});
	};

	targetsSync.recordRead(1, 1);
	configurationSync.recordRead(1, 1);
	request();
	assert.deepEqual([sentMs, refreshed], [[0], []]);
	await time.runUntil(5000);
	resumedMs = 5000;
	request();
	await time.runUntil(5010);
	targetsSync.recordRead(2, 2);
	assert.deepEqual(sentMs, [0]);
	await time.runUntil(5020);
	configurationSync.recordRead(2, 2);
	assert.deepEqual(sentMs, [0, 5020]);
	assert.deepEqual(refreshed, ['targets', 'configuration']);
});
