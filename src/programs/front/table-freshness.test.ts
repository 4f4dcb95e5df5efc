import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEmitter, storeRevision} from '../../common/index.js';
import {createTableSyncTracker} from '../../decisions/fleet/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableFreshnessGate} from './table-freshness.js';

test("after a pause no request is sent before the operator's table is confirmed too, as a zone may have been evacuated meanwhile", async () => {
	const time = new VirtualTime();
	const targetsSync = createTableSyncTracker(time);
	const configurationSync = createTableSyncTracker(time);
	const confirmed = createEmitter<void>();
	for (const sync of [targetsSync, configurationSync]) {
		sync.onConfirmed(confirmed.fire);
	}

	let resumedMs = -Infinity;
	const refreshed: string[] = [];
	const gate = createTableFreshnessGate({
		clock: time,
		timers: time,
		storeWatch: {
			get confirmedAgeMs() {
				return Math.max(targetsSync.ageMs, configurationSync.ageMs);
			},
			isStoreLost: false,
			onConfirmed: confirmed.event,
			refreshAll() {
				refreshed.push('all');
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

	targetsSync.recordSnapshot(storeRevision(1));
	configurationSync.recordSnapshot(storeRevision(1));
	request();
	assert.deepEqual([sentMs, refreshed], [[0], []]);
	await time.runUntil(5000);
	resumedMs = 5000;
	request();
	await time.runUntil(5010);
	targetsSync.recordSnapshot(storeRevision(2));
	assert.deepEqual(sentMs, [0]);
	await time.runUntil(5020);
	configurationSync.recordSnapshot(storeRevision(2));
	assert.deepEqual(sentMs, [0, 5020]);
	assert.deepEqual(refreshed, ['all']);
});
