import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	ProblemError,
	storeRevision,
	type TableChanges,
} from '../../common/index.js';
import {
	followInTest as follow,
	row,
	ScriptedStore,
} from './testing/follow-in-test.js';

test('after a return to an older copy, versions that were issued again are not taken for the changes since the last read', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], revision: storeRevision(100)},
		{rows: [row('a', 81, 1)], revision: storeRevision(106, 1)},
	];
	store.changeReads = [
		// Version 81 of the new era is missing, since it is below the cursor.
		{changes: [row('b', 104, 1)], revision: storeRevision(105, 1)},
		{changes: [row('c', 107, 1)], revision: storeRevision(107, 1)},
	];
	const {time, events, syncTracker} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, [
		'snapshot 100',
		'snapshot 106 of era 1',
		'changes c',
	]);
	assert.deepEqual(syncTracker.revision, storeRevision(107, 1));
});

test('a response of an older era is dropped and reported, and the table is not taken for current', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], revision: storeRevision(80, 1)},
		{rows: [], revision: storeRevision(200)},
	];
	store.changeReads = [
		{changes: [row('a', 90)], revision: storeRevision(90)},
		new ProblemError('table-history-lost', 'gone'),
	];
	const {time, events, syncTracker} = follow(store);
	await time.runUntil(3000);
	assert.deepEqual(events, ['snapshot 80 of era 1', 'lost table-unavailable']);
	assert.deepEqual(syncTracker.revision, storeRevision(80, 1));
	assert.ok(syncTracker.ageMs > 2000);
});

/** A store whose reads of changes last until the test answers them. */
class PendingStore extends ScriptedStore {
	private resolve: ((changes: TableChanges) => void) | undefined;

	override async changes(): Promise<TableChanges> {
		return new Promise((resolve) => {
			this.resolve = resolve;
		});
	}

	answer(changes: TableChanges): void {
		assert.ok(this.resolve, 'no read is in progress');
		this.resolve(changes);
	}
}

test('a read that the arrival of a newer era has overtaken changes nothing, and does not count as an outage', async () => {
	const store = new PendingStore();
	store.snapshots = [{rows: [], revision: storeRevision(100)}];
	const {time, events, syncTracker} = follow(store);
	await time.runUntil(500);
	// The table of a peer arrives.
	syncTracker.adoptRevision(storeRevision(80, 1));
	store.answer({changes: [row('a', 101)], revision: storeRevision(101)});
	await time.runUntil(600);
	assert.deepEqual(events, ['snapshot 100']);
	assert.deepEqual(syncTracker.revision, storeRevision(80, 1));
});

test('VMs that learn of a newer era read the table within 2 s, and not all at the same moment', async () => {
	const startsMs: number[] = [];
	for (let seed = 1; seed <= 20; seed++) {
		const store = new ScriptedStore();
		store.snapshots = [
			{rows: [], revision: storeRevision(100)},
			{rows: [], revision: storeRevision(80, 1)},
		];
		const {time, follower, role, syncTracker} = follow(store, [], seed);
		role.isReader = false;
		await time.runUntil(1000);
		follower.restart(1000);
		await time.runUntil(1010);
		// Beacons repeat the report.
		follower.restart(1010);
		for (let atMs = 1010; syncTracker.revision.era === 0; atMs += 10) {
			assert.ok(atMs <= 1160, 'the delay is at most 150 ms');
			await time.runUntil(atMs);
			startsMs.push(atMs);
		}
	}

	assert.ok(new Set(startsMs).size > 5);
});

test('a VM whose reads have failed reads the table of a newer era as soon as it learns that the store answers', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(100)}];
	store.changeReads = Array.from({length: 100}, () => away);
	const {time, follower, role, syncTracker} = follow(store);
	role.isReader = false;
	await time.runUntil(20_000);
	store.snapshots = [{rows: [], revision: storeRevision(80, 1)}];
	follower.restart(19_990);
	await time.runUntil(20_200);
	assert.deepEqual(syncTracker.revision, storeRevision(80, 1));
});
