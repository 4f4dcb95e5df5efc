import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from './table-sync-tracker.js';

test('detects changes that a lost datagram carried, so that a leaving target does not stay in use', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	tracker.recordRead(10, 10);
	assert.equal(tracker.recordRelayedChanges(10, 12), true);
	assert.equal(tracker.recordRelayedChanges(14, 15), false);
	assert.equal(tracker.version, 12);
	const ahead = {version: 20, changeVersion: 15, ageMs: 0};
	assert.equal(tracker.recordPeerState(ahead), false);
});

test('takes no confirmation from a VM that lacks changes, so that an old copy is not taken for current', async () => {
	const time = new VirtualTime();
	const tracker = createTableSyncTracker(time);
	tracker.recordRead(10, 10);
	await time.runUntil(1000);
	assert.equal(
		tracker.recordPeerState({version: 9, changeVersion: 9, ageMs: 0}),
		true,
	);
	assert.equal(tracker.ageMs, 1000);
	tracker.recordPeerState({version: 30, changeVersion: 10, ageMs: 200});
	assert.equal(tracker.ageMs, 200);
	assert.equal(tracker.version, 30);
});

test('has no finite age before a confirmation, so that a version adopted from a peer is not taken for current', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	assert.equal(
		tracker.recordPeerState({version: 0, changeVersion: 0, ageMs: 0}),
		false,
	);
	tracker.adoptVersion(7);
	assert.equal(tracker.version, 7);
	assert.equal(tracker.ageMs, Infinity);
});

test('accepts the state of a peer for a table that was read and has never changed, so that it is not read again each time', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	assert.equal(tracker.recordRelayedChanges(0, 3), false);
	tracker.recordRead(0, 0);
	assert.equal(
		tracker.recordPeerState({version: 0, changeVersion: 0, ageMs: 0}),
		true,
	);
	assert.equal(
		tracker.recordPeerState({version: 1, changeVersion: 1, ageMs: 0}),
		false,
	);
	assert.equal(tracker.recordRelayedChanges(0, 1), true);
	assert.equal(tracker.version, 1);
});
