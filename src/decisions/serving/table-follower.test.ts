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
	feeds: Array<TableChanges | ProblemError> = [];
	readonly askedAfter: number[] = [];

	override async snapshot(): Promise<TableSnapshot> {
		return this.next(this.snapshots);
	}

	override async changes(
		_table: string,
		afterVersion: number,
	): Promise<TableChanges> {
		this.askedAfter.push(afterVersion);
		return this.next(this.feeds);
	}

	override async put(): Promise<void> {
		throw new Error('not used');
	}

	private async next<T>(script: Array<T | ProblemError>): Promise<T> {
		const step = script.shift();
		if (step === undefined) {
			return new Promise(() => {
				// Hangs, as a store without changes does.
			});
		}

		if (step instanceof ProblemError) {
			throw step;
		}

		return step;
	}
}

type Callback = 'changes' | 'regained' | 'snapshot';

/** @param failing - callbacks that fail, one time for each entry */
function follow(store: RowStore, failing: Callback[] = []) {
	const failIfPlanned = (callback: Callback) => {
		const index = failing.indexOf(callback);
		if (index !== -1) {
			failing.splice(index, 1);
			throw new Error(`planted in ${callback}`);
		}
	};

	const time = new VirtualTime();
	const reads = {isReader: true};
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
			isReader: () => reads.isReader,
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
				failIfPlanned('snapshot');
			},
			onChanges(changes) {
				events.push(`changes ${changes.map(({key}) => key).join(' ')}`);
				failIfPlanned('changes');
			},
			onRead(reason) {
				reasons.push(reason);
			},
			onLost({type}) {
				events.push(`lost ${type}`);
			},
			onRegained() {
				events.push('regained');
				failIfPlanned('regained');
			},
		},
	);
	return {time, events, reasons, follower, belief: syncTracker, reads};
}

const row = (key: string, version: number) => ({
	key,
	version,
	value: new Uint8Array(),
});

test('guards against missed changes when the store forgets its history', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], version: 5},
		{rows: [row('a', 9)], version: 9},
	];
	store.feeds = [
		{changes: [row('a', 6)], version: 6},
		new ProblemError('table-history-lost', 'gone'),
	];
	const {time, events} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, ['snapshot 5', 'changes a', 'snapshot 9']);
	assert.deepEqual(store.askedAfter, [5, 6, 9]);
});

test('guards against a stale read undoing what is known', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], version: 5},
		{rows: [], version: 4},
		{rows: [], version: 7},
	];
	store.feeds = [new ProblemError('table-history-lost', 'gone')];
	const {time, events} = follow(store);
	await time.runUntil(1000);
	assert.deepEqual(events, ['snapshot 5', 'snapshot 7']);
});

test('guards against an outage that is not noticed or never ends', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = [away, away, {changes: [], version: 6}];
	const {time, events} = follow(store);
	await time.runUntil(5000);
	assert.deepEqual(events, [
		'snapshot 5',
		'lost table-unavailable',
		'regained',
	]);
	assert.deepEqual(store.askedAfter, [5, 5, 5, 6]);
});

test('guards against each VM of a large fleet asking the store for what others tell it', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	const {time, belief, reads, events} = follow(store);
	reads.isReader = false;
	for (let atMs = 500; atMs <= 5000; atMs += 500) {
		await time.runUntil(atMs);
		belief.recordPeerState({version: 5 + atMs, changeVersion: 5, ageMs: 300});
	}

	assert.deepEqual(store.askedAfter, []);
	assert.deepEqual(events, ['snapshot 5']);
});

test('guards against a VM that goes on with what it was told long ago when its readers fall silent', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = [{changes: [row('a', 8)], version: 8}];
	const {time, reads, events, reasons} = follow(store);
	reads.isReader = false;
	await time.runUntil(1300);
	assert.deepEqual(store.askedAfter, []);
	await time.runUntil(1600);
	assert.deepEqual(store.askedAfter, [5]);
	assert.deepEqual(events, ['snapshot 5', 'changes a']);
	assert.deepEqual(reasons, ['snapshot', 'age']);
});

test('guards against a second read at the start, for changes that the whole table shows', async () => {
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = [{changes: [], version: 5}];
	const {time, reads, follower, reasons} = follow(store);
	reads.isReader = false;
	follower.refresh(-Infinity);
	await time.runUntil(1000);
	assert.deepEqual(reasons, ['snapshot']);
	follower.refresh(-Infinity);
	await time.runUntil(1200);
	assert.deepEqual(reasons, ['snapshot', 'missing']);
});

test('replay "the store is busy for 20 seconds": VMs that are no readers ask seldom, and hear of its end from readers', async () => {
	const away = new ProblemError('table-unavailable', 'busy');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = Array.from({length: 100}, () => away);
	const {time, belief, reads, events} = follow(store);
	reads.isReader = false;
	await time.runUntil(20_000);
	assert.ok(store.askedAfter.length <= 9, `${store.askedAfter.length} calls`);
	belief.recordPeerState({version: 6, changeVersion: 5, ageMs: 0});
	await time.runUntil(21_100);
	assert.equal(events.at(-1), 'regained');

	await time.runUntil(40_000);
	const before = store.askedAfter.length;
	reads.isReader = true;
	await time.runUntil(43_000);
	assert.ok(store.askedAfter.length >= before + 2);
});

test('guards against a change or a table that is lost for good, because an unexpected error came while it was taken over', async () => {
	const store = new ScriptedStore();
	store.snapshots = [
		{rows: [], version: 5},
		{rows: [row('a', 6)], version: 6},
		{rows: [row('a', 6)], version: 6},
	];
	store.feeds = [{changes: [row('a', 6)], version: 6}];
	const {time, events} = follow(store, ['snapshot', 'changes']);
	await time.runUntil(3000);
	assert.deepEqual(
		events.filter((event) => !/lost|regained/.test(event)),
		['snapshot 5', 'snapshot 6', 'changes a', 'snapshot 6'],
	);
});

test('guards against a table that is followed no more after an unexpected error', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = [away, {changes: [row('a', 6)], version: 6}];
	const {time, events, reads, belief} = follow(store, ['regained']);
	await time.runUntil(10);
	reads.isReader = false;
	// Other VMs tell that the store is there again.
	belief.adoptVersion(5);
	await time.runUntil(500);
	reads.isReader = true;
	await time.runUntil(4000);
	assert.ok(
		events.includes('unexpected planted in regained'),
		events.join(', '),
	);
	assert.equal(events.at(-1), 'changes a');
});

test('replay "the store is back, with a new configuration": a VM that is told so by one that has read it does not wait as after a failure (andamio-grown, trouble-3, seed 75150400995)', async () => {
	const away = new ProblemError('table-unavailable', 'away');
	const store = new ScriptedStore();
	store.snapshots = [{rows: [], version: 5}];
	store.feeds = Array.from({length: 100}, () => away);
	const {time, follower, reads, events} = follow(store);
	reads.isReader = false;
	for (let atMs = 500; atMs <= 20_000; atMs += 500) {
		await time.runUntil(atMs);
		// It was read before the store went away.
		follower.refresh(0);
	}

	assert.ok(store.askedAfter.length <= 9, `${store.askedAfter.length} calls`);
	store.feeds = [{changes: [row('a', 8)], version: 8}];
	follower.refresh(19_900);
	await time.runUntil(20_300);
	assert.equal(events.at(-1), 'changes a');
});
