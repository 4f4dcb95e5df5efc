import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from './table-sync-tracker.js';

test('detects changes that a lost datagram carried, so that a leaving target does not stay in use', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	tracker.recordSnapshot(storeRevision(10));
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(10), storeRevision(12)),
		true,
	);
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(14), storeRevision(15)),
		false,
	);
	assert.equal(tracker.revision.version, 12);
	const ahead = {revision: storeRevision(20), changeVersion: 15, ageMs: 0};
	assert.equal(tracker.recordPeerState(ahead), false);
});

test('takes no confirmation from a VM that lacks changes, so that an old copy is not taken for current', async () => {
	const time = new VirtualTime();
	const tracker = createTableSyncTracker(time);
	tracker.recordSnapshot(storeRevision(10));
	await time.runUntil(1000);
	assert.equal(
		tracker.recordPeerState({
			revision: storeRevision(9),
			changeVersion: 9,
			ageMs: 0,
		}),
		true,
	);
	assert.equal(tracker.ageMs, 1000);
	tracker.recordPeerState({
		revision: storeRevision(30),
		changeVersion: 10,
		ageMs: 200,
	});
	assert.equal(tracker.ageMs, 200);
	assert.equal(tracker.revision.version, 30);
});

test('has no finite age before a confirmation, so that a version adopted from a peer is not taken for current', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	assert.equal(
		tracker.recordPeerState({
			revision: storeRevision(0),
			changeVersion: 0,
			ageMs: 0,
		}),
		false,
	);
	tracker.adoptRevision(storeRevision(7));
	assert.equal(tracker.revision.version, 7);
	assert.equal(tracker.ageMs, Infinity);
});

test('accepts the state of a peer for a table that was read and has never changed, so that it is not read again each time', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(0), storeRevision(3)),
		false,
	);
	tracker.recordSnapshot(storeRevision(0));
	assert.equal(
		tracker.recordPeerState({
			revision: storeRevision(0),
			changeVersion: 0,
			ageMs: 0,
		}),
		true,
	);
	assert.equal(
		tracker.recordPeerState({
			revision: storeRevision(1),
			changeVersion: 1,
			ageMs: 0,
		}),
		false,
	);
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(0), storeRevision(1)),
		true,
	);
	assert.equal(tracker.revision.version, 1);
});

test('nothing of an older era counts as a confirmation, nor as changes that are missing', async () => {
	const time = new VirtualTime();
	const tracker = createTableSyncTracker(time);
	tracker.recordSnapshot(storeRevision(100));
	tracker.recordSnapshot(storeRevision(80, 1));
	await time.runUntil(1000);
	tracker.recordSnapshot(storeRevision(120));
	tracker.recordChanges(storeRevision(120), 120);
	tracker.adoptRevision(storeRevision(120));
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(100), storeRevision(120)),
		true,
	);
	assert.equal(
		tracker.recordPeerState({
			revision: storeRevision(120),
			changeVersion: 120,
			ageMs: 0,
		}),
		true,
	);
	assert.deepEqual(tracker.state, {
		revision: storeRevision(80, 1),
		changeVersion: 80,
		ageMs: 1000,
	});
});

test('changes and confirmations of a newer era do not lead into it, since they do not tell what the older copy lacks', () => {
	const tracker = createTableSyncTracker(new VirtualTime());
	tracker.recordSnapshot(storeRevision(100));
	const peerState = {
		revision: storeRevision(110, 1),
		changeVersion: 80,
		ageMs: 0,
	};
	assert.equal(tracker.recordPeerState(peerState), false);
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(80, 1), storeRevision(110, 1)),
		false,
	);
	assert.equal(
		tracker.recordRelayedChanges(storeRevision(80), storeRevision(110, 1)),
		false,
	);
	tracker.recordChanges(storeRevision(110, 1), 110);
	assert.deepEqual(tracker.revision, storeRevision(100));
	tracker.recordSnapshot(storeRevision(110, 1));
	assert.equal(tracker.recordPeerState(peerState), true);
});
