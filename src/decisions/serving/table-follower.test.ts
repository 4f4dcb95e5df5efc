import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	ProblemError,
	RowStore,
	SeededRandomSource,
	type TableChanges,
	type TableSnapshot,
} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createTableSyncTracker} from '../fleet/index.js';
import {followTable} from './table-follower.js';

class ScriptedStore extends RowStore {
	snapshots: Array<TableSnapshot | ProblemError> = [];
	changeReads: Array<TableChanges | ProblemError> = [];
	readonly readsAfter: number[] = [];

	override async snapshot(): Promise<TableSnapshot> {
		return this.next(this.snapshots);
	}

	override async changes(
		_table: string,
		afterVersion: number,
	): Promise<TableChanges> {
		this.readsAfter.push(afterVersion);
		return this.next(this.changeReads);
	}

	override async put(): Promise<void> {
		throw new Error('not used');
	}

	private async next<T>(script: Array<T | ProblemError>): Promise<T> {
		const step = script.shift();
		if (step === undefined) {
			return new Promise(() => {
				// Never resolves, as a read without changes.
			});
		}

		if (step instanceof ProblemError) {
			throw step;
		}

		return step;
	}
}

type Callback = 'changes' | 'regained' | 'snapshot';

/** @param failingCallbacks - callbacks that throw, once for each entry */
function follow(store: RowStore, failingCallbacks: Callback[] = []) {
	const failIfRequested = (callback: Callback) => {
		const index = failingCallbacks.indexOf(callback);
		if (index !== -1) {
			failingCallbacks.splice(index, 1);
			throw new Error(`planted in ${callback}`);
		}
	};

	const time = new VirtualTime();
	const role = {isReader: true};
	const events: string[] = [];
	const reasons: string[] = [];
	const syncTracker = createTableSyncTracker(time);
	const follower = followTable(
		{
			store,
			clock: time,
			timers: time,
			random: new SeededRandomSource(1),
			table: 'op',
			syncTracker,
			isReader: () => role.isReader,
			waitMs: () => 1000,
			maxAgeMs: () => 1400,
			minIntervalMs: 10,
			onUnexpected(error) {
				events.push(`unexpected ${(error as Error).message}`);
			},
		},
		{
			onSnapshot({version}) {
				events.push(`snapshot ${version}`);
				failIfRequested('snapshot');
			},
			onChanges(changes) {
				events.push(`changes ${changes.map(({key}) => key).join(' ')}`);
				failIfRequested('changes');
			},
			onRead(reason) {
				reasons.push(reason);
			},
			onLost({type}) {
				events.push(`lost ${type}`);
			},
			onRegained() {
				events.push('regained');
				failIfRequested('regained');
			},
		},
	);
	return {time, events, reasons, follower, syncTracker, role};
}

const row = (key: string, version: number) => ({
	key,
	version,
	value: new Uint8Array(),
});

test('reads the whole table when the store has dropped its history', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], version: 5},
		{rows: [row('a', 9)], version: 9},
	];
	store.changeReads = [
		{changes: [row('a', 6)], version: 6},
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
		{rows: [], version: 5},
		{rows: [], version: 4},
		{rows: [], version: 7},
	];
	store.changeReads = [new ProblemError('table-history-lost', 'gone')];
	const {time, events} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, ['snapshot 5', 'snapshot 7']);
});

test('reports an outage once and its end', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = [away, away, {changes: [], version: 6}];
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
	store.snapshots = [{rows: [], version: 5}];
	const {time, syncTracker, role, events} = follow(store);
	role.isReader = false;
	for (let atMs = 500; atMs <= 5000; atMs += 500) {
		await time.runUntil(atMs);
		syncTracker.recordPeerState({
			version: 5 + atMs,
			changeVersion: 5,
			ageMs: 300,
		});
	}

	assert.deepEqual(store.readsAfter, []);
	assert.deepEqual(events, ['snapshot 5']);
});

test('a VM that is not a reader reads the store itself when the readers stop reporting', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = [{changes: [row('a', 8)], version: 8}];
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
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = [{changes: [], version: 5}];
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
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = Array.from({length: 100}, () => away);
	const {time, syncTracker, role, events} = follow(store);
	role.isReader = false;
	await time.runUntil(20_000);
	assert.ok(store.readsAfter.length <= 9, `${store.readsAfter.length} calls`);
	syncTracker.recordPeerState({version: 6, changeVersion: 5, ageMs: 0});
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
		{rows: [], version: 5},
		{rows: [row('a', 6)], version: 6},
		{rows: [row('a', 6)], version: 6},
	];
	store.changeReads = [{changes: [row('a', 6)], version: 6}];
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
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = [away, {changes: [row('a', 6)], version: 6}];
	const {time, events, role, syncTracker} = follow(store, ['regained']);
	await time.runUntil(10);
	role.isReader = false;
	// Another VM reports that the store is available again.
	syncTracker.adoptVersion(5);
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
	store.snapshots = [{rows: [], version: 5}];
	store.changeReads = Array.from({length: 100}, () => away);
	const {time, follower, role, events} = follow(store);
	role.isReader = false;
	for (let atMs = 500; atMs <= 20_000; atMs += 500) {
		await time.runUntil(atMs);
		// The reported version was read before the outage.
		follower.refresh(0);
	}

	assert.ok(store.readsAfter.length <= 9, `${store.readsAfter.length} calls`);
	store.changeReads = [{changes: [row('a', 8)], version: 8}];
	follower.refresh(19_900);
	await time.runUntil(20_300);
	assert.equal(events.at(-1), 'changes a');
});
