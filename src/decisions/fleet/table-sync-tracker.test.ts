import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from './table-sync-tracker.js';

test('guards against a lost datagram leaving a leaving target in use', () => {
	const belief = createTableSyncTracker(new VirtualTime());
	belief.recordRead(10, 10);
	assert.equal(belief.recordRelayedChanges(10, 12), true);
	assert.equal(belief.recordRelayedChanges(14, 15), false);
	assert.equal(belief.version, 12);
	const ahead = {version: 20, changeVersion: 15, ageMs: 0};
	assert.equal(belief.recordPeerState(ahead), false);
});

test('guards against a confirmation by a VM that knows less', async () => {
	const time = new VirtualTime();
	const belief = createTableSyncTracker(time);
	belief.recordRead(10, 10);
	await time.runUntil(1000);
	assert.equal(
		belief.recordPeerState({version: 9, changeVersion: 9, ageMs: 0}),
		true,
	);
	assert.equal(belief.ageMs, 1000);
	belief.recordPeerState({version: 30, changeVersion: 10, ageMs: 200});
	assert.equal(belief.ageMs, 200);
	assert.equal(belief.version, 30);
});

test('guards against an age that a VM without a read could take for fresh', () => {
	const belief = createTableSyncTracker(new VirtualTime());
	assert.equal(
		belief.recordPeerState({version: 0, changeVersion: 0, ageMs: 0}),
		false,
	);
	belief.adoptVersion(7);
	assert.equal(belief.version, 7);
	assert.equal(belief.ageMs, Infinity);
});

test('guards against reads of a table that has never changed, each time a VM tells that it has not', () => {
	const belief = createTableSyncTracker(new VirtualTime());
	assert.equal(belief.recordRelayedChanges(0, 3), false);
	belief.recordRead(0, 0);
	assert.equal(
		belief.recordPeerState({version: 0, changeVersion: 0, ageMs: 0}),
		true,
	);
	assert.equal(
		belief.recordPeerState({version: 1, changeVersion: 1, ageMs: 0}),
		false,
	);
	assert.equal(belief.recordRelayedChanges(0, 1), true);
	assert.equal(belief.version, 1);
});
