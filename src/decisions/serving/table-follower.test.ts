import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ProblemError, storeRevision} from '../../common/index.js';
import {
	followInTest as follow,
	row,
	ScriptedStore,
} from './testing/follow-in-test.js';

test('reads the whole table when the store has dropped its history', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], revision: storeRevision(5)},
		{rows: [row('a', 9)], revision: storeRevision(9)},
	];
	store.changeReads = [
		{changes: [row('a', 6)], revision: storeRevision(6)},
		new ProblemError('table-history-lost', 'gone'),
	];
	const {time, events} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, ['snapshot 5', 'changes a', 'snapshot 9']);
	assert.deepEqual(store.readsAfter, [5, 6, 9]);
});

test('ignores a stale snapshot', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], revision: storeRevision(5)},
		{rows: [], revision: storeRevision(4)},
		{rows: [], revision: storeRevision(7)},
	];
	store.changeReads = [new ProblemError('table-history-lost', 'gone')];
	const {time, events} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, ['snapshot 5', 'snapshot 7']);
});

test('reports an outage once and its end', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = [away, away, {changes: [], revision: storeRevision(6)}];
	const {time, events} = follow(store);
	await time.runUntil(5000);
	assert.deepEqual(events, [
		'snapshot 5',
		'lost table-unavailable',
		'regained',
	]);
	assert.deepEqual(store.readsAfter, [5, 5, 5, 6]);
});

test('a VM that is not a reader does not read what other VMs confirm', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	const {time, syncTracker, role, events} = follow(store);
	role.isReader = false;
	for (let atMs = 500; atMs <= 5000; atMs += 500) {
		await time.runUntil(atMs);
		syncTracker.recordPeerState({
			revision: storeRevision(5 + atMs),
			changeVersion: 5,
			ageMs: 300,
		});
	}

	assert.deepEqual(store.readsAfter, []);
	assert.deepEqual(events, ['snapshot 5']);
});

test('a VM that is not a reader reads the store itself when the readers stop reporting', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = [{changes: [row('a', 8)], revision: storeRevision(8)}];
	const {time, role, events, reasons} = follow(store);
	role.isReader = false;
	await time.runUntil(1300);
	assert.deepEqual(store.readsAfter, []);
	await time.runUntil(1600);
	assert.deepEqual(store.readsAfter, [5]);
	assert.deepEqual(events, ['snapshot 5', 'changes a']);
	assert.deepEqual(reasons, ['snapshot', 'age']);
});

test('does not read changes that the first snapshot already includes', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = [{changes: [], revision: storeRevision(5)}];
	const {time, role, follower, reasons} = follow(store);
	role.isReader = false;
	follower.refresh(-Infinity);
	await time.runUntil(1000);
	assert.deepEqual(reasons, ['snapshot']);
	follower.refresh(-Infinity);
	await time.runUntil(1200);
	assert.deepEqual(reasons, ['snapshot', 'missing']);
});

test('during an outage of 20 s, VMs that are not readers retry rarely and learn of its end from readers', async () => {
	const away = new ProblemError('table-unavailable', 'busy');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = Array.from({length: 100}, () => away);
	const {time, syncTracker, role, events} = follow(store);
	role.isReader = false;
	await time.runUntil(20_000);
	assert.ok(store.readsAfter.length <= 9, `${store.readsAfter.length} calls`);
	syncTracker.recordPeerState({
		revision: storeRevision(6),
		changeVersion: 5,
		ageMs: 0,
	});
	await time.runUntil(21_100);
	assert.equal(events.at(-1), 'regained');

	await time.runUntil(40_000);
	const before = store.readsAfter.length;
	role.isReader = true;
	await time.runUntil(43_000);
	assert.ok(store.readsAfter.length >= before + 2);
});

test('a change or snapshot is not lost for good when the listener throws', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], revision: storeRevision(5)},
		{rows: [row('a', 6)], revision: storeRevision(6)},
		{rows: [row('a', 6)], revision: storeRevision(6)},
	];
	store.changeReads = [{changes: [row('a', 6)], revision: storeRevision(6)}];
	const {time, events} = follow(store, ['snapshot', 'changes']);
	await time.runUntil(3000);
	assert.deepEqual(
		events.filter((event) => !/lost|regained/.test(event)),
		['snapshot 5', 'snapshot 6', 'changes a', 'snapshot 6'],
	);
});

test('a listener that throws does not leave a table that is followed no more', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = [
		away,
		{changes: [row('a', 6)], revision: storeRevision(6)},
	];
	const {time, events, role, syncTracker} = follow(store, ['regained']);
	await time.runUntil(10);
	role.isReader = false;
	// Another VM reports that the store is available again.
	syncTracker.adoptRevision(storeRevision(5));
	await time.runUntil(500);
	role.isReader = true;
	await time.runUntil(4000);
	assert.ok(
		events.includes('unexpected planted in regained'),
		events.join(', '),
	);
	assert.equal(events.at(-1), 'changes a');
});

test('when the store is back, a VM that learns of a newer version skips its backoff (andamio-grown, trouble-3, seed 75150400995)', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], revision: storeRevision(5)}];
	store.changeReads = Array.from({length: 100}, () => away);
	const {time, follower, role, events} = follow(store);
	role.isReader = false;
	for (let atMs = 500; atMs <= 20_000; atMs += 500) {
		await time.runUntil(atMs);
		// The reported version was read before the outage.
		follower.refresh(0);
	}

	assert.ok(store.readsAfter.length <= 9, `${store.readsAfter.length} calls`);
	store.changeReads = [{changes: [row('a', 8)], revision: storeRevision(8)}];
	follower.refresh(19_900);
	await time.runUntil(20_300);
	assert.equal(events.at(-1), 'changes a');
});
