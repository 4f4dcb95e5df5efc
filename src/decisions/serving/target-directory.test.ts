import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {fakeTargetEntry, VirtualTime} from '../../experiments/fakes/index.js';
import {
	createTargetDirectory,
	type Departure,
	type TargetRow,
} from './target-directory.js';

function create() {
	const time = new VirtualTime();
	const directory = createTargetDirectory({
		clock: time,
		lapseGraceMs: 2000,
		unreachableMs: 1000,
		lingerMs: 5000,
	});
	const departures: Array<[string, Departure['reason']]> = [];
	directory.onDeparted(({entry, reason}) => {
		departures.push([entry.id, reason]);
	});
	const usable = () => directory.usable('desk').map(({entry}) => entry.id);
	return {time, directory, departures, usable};
}

/** Rows of ready targets, each with the version of its last write. */
const rows = (...versions: ReadonlyArray<readonly [string, number]>) =>
	rowsOf(0, ...versions);

const rowsOf = (
	era: number,
	...versions: ReadonlyArray<readonly [string, number]>
) =>
	new Map<string, TargetRow>(
		versions.map(([id, version]) => [
			id,
			{entry: fakeTargetEntry(id), revision: storeRevision(version, era)},
		]),
	);

test('targets that drain or whose entry was removed are not usable', () => {
	const {directory, departures, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(1));
	directory.set('t2', fakeTargetEntry('t2'), storeRevision(2));
	directory.set(
		't1',
		fakeTargetEntry('t1', {state: 'draining'}),
		storeRevision(3),
	);
	directory.set('t2', undefined, storeRevision(4));
	assert.deepEqual(usable(), []);
	assert.deepEqual(departures, [
		['t1', 'draining'],
		['t2', 'removed'],
	]);
});

test('an older relayed row that arrives late does not bring a draining target back', () => {
	const {directory, usable} = create();
	directory.set(
		't1',
		fakeTargetEntry('t1', {state: 'draining'}),
		storeRevision(8),
	);
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(7));
	assert.deepEqual(usable(), []);
});

test('a snapshot that is older than a relayed row does not bring a draining target back', () => {
	const {directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(5));
	directory.set(
		't1',
		fakeTargetEntry('t1', {state: 'draining'}),
		storeRevision(8),
	);
	directory.reset(rows(['t1', 7]), storeRevision(7));
	assert.deepEqual(usable(), []);
	directory.reset(rows(['t1', 9]), storeRevision(9));
	assert.deepEqual(usable(), ['t1']);
});

test('keeps live targets whose entries lapse while the store is lost', async () => {
	const {time, directory, departures, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(1));
	directory.set('t2', fakeTargetEntry('t2'), storeRevision(2));
	directory.storeLost();
	directory.set('t1', undefined, storeRevision(3));
	directory.set('t2', undefined, storeRevision(4));
	directory.storeRegained();
	assert.deepEqual(usable(), ['t1', 't2']);
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(5));
	await time.runUntil(2100);
	directory.tick();
	assert.deepEqual(usable(), ['t1']);
	assert.deepEqual(departures, [['t2', 'lapsed']]);
});

test('treats a restarted target as a new one', () => {
	const {directory, departures} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(1));
	directory.set('t1', fakeTargetEntry('t1', {bornMs: 2}), storeRevision(2));
	assert.deepEqual(departures, [['t1', 'restarted']]);
	assert.equal(directory.get('t1')?.entry.bornMs, 2);
});

test('does not use a target for a while after it refused a connection', async () => {
	const {time, directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(1));
	directory.markUnreachable('t1');
	assert.deepEqual(usable(), []);
	await time.runUntil(1100);
	assert.deepEqual(usable(), ['t1']);
	assert.equal(directory.isUnreachable('t1'), true);
	directory.markReachable('t1');
	assert.equal(directory.isUnreachable('t1'), false);
});

test('a target is not usable once a different one has responded at its address', () => {
	const {directory, departures, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(1));
	directory.markReplaced('t1');
	assert.deepEqual(usable(), []);
	assert.deepEqual(departures, [['t1', 'misdirected']]);
});

/** A directory at version 100 of era 0: `t1` drains, `t2` was removed, `t3` is ready. */
function createWithDepartures() {
	const created = create();
	const {directory} = created;
	directory.reset(rows(['t1', 10], ['t2', 20], ['t3', 30]), storeRevision(90));
	directory.set(
		't1',
		fakeTargetEntry('t1', {state: 'draining'}),
		storeRevision(95),
	);
	directory.set('t2', undefined, storeRevision(96));
	return created;
}

test('an older copy of the store does not bring back a target that drained or was removed', () => {
	const {directory, usable} = createWithDepartures();
	const copy = rowsOf(1, ['t1', 10], ['t2', 20], ['t3', 30]);
	directory.reset(copy, storeRevision(80, 1));
	assert.deepEqual(usable(), ['t3']);
	// A second read of the table has the same rows.
	directory.reset(copy, storeRevision(85, 1));
	assert.deepEqual(usable(), ['t3']);
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(86, 1));
	assert.deepEqual(usable(), ['t3', 't1']);
	directory.reset(rowsOf(1, ['t2', 87]), storeRevision(88, 1));
	assert.deepEqual(usable(), ['t2']);
});

test('a target that has left and started again comes back at once from an older copy', () => {
	const {directory, usable} = createWithDepartures();
	const entry = fakeTargetEntry('t1', {bornMs: 7});
	directory.reset(
		new Map([['t1', {entry, revision: storeRevision(40, 1)}]]),
		storeRevision(80, 1),
	);
	assert.ok(usable().includes('t1'));
});

test('a target that an older copy lacks is kept until it can have written its row again', async () => {
	const {time, directory, departures, usable} = create();
	directory.reset(rows(['t1', 95], ['t2', 96]), storeRevision(100));
	directory.reset(rowsOf(1), storeRevision(80, 1));
	assert.deepEqual(usable(), ['t1', 't2']);
	await time.runUntil(1500);
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(81, 1));
	await time.runUntil(2000);
	directory.tick();
	assert.deepEqual(usable(), ['t1']);
	assert.deepEqual(departures, [['t2', 'lapsed']]);
	// The next removal in this era counts at once.
	directory.set('t1', undefined, storeRevision(82, 1));
	assert.deepEqual(usable(), []);
});

test('an older copy does not replace a restarted target by its earlier incarnation', async () => {
	const {time, directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1', {bornMs: 2}), storeRevision(95));
	directory.reset(rows(['t2', 1]), storeRevision(94));
	const earlier = fakeTargetEntry('t1', {bornMs: 1});
	const copy = new Map([
		['t1', {entry: earlier, revision: storeRevision(40, 1)}],
	]);
	directory.reset(copy, storeRevision(80, 1));
	assert.equal(directory.get('t1')?.entry.bornMs, 2);
	directory.reset(copy, storeRevision(85, 1));
	assert.equal(directory.get('t1')?.entry.bornMs, 2);
	await time.runUntil(2000);
	directory.tick();
	directory.reset(copy, storeRevision(87, 1));
	assert.ok(!usable().includes('t1'));
});

test('a VM that starts from an older copy learns from a peer which targets have left', () => {
	const {directory: peer} = createWithDepartures();
	const copy = rowsOf(1, ['t1', 10], ['t2', 20], ['t3', 30]);
	peer.reset(copy, storeRevision(80, 1));
	const {directory, usable} = create();
	directory.reset(copy, storeRevision(82, 1));
	directory.set('t2', fakeTargetEntry('t2'), storeRevision(83, 1));
	directory.applyDepartures(peer.heldDepartures());
	assert.deepEqual(usable(), ['t2', 't3']);
	directory.reset(copy, storeRevision(84, 1));
	assert.deepEqual(usable(), ['t2', 't3']);
	directory.set('t1', fakeTargetEntry('t1'), storeRevision(85, 1));
	assert.ok(usable().includes('t1'));
});

test('what is known of targets that are gone for long is removed, so that memory does not grow with each new target', async () => {
	const {time, directory} = createWithDepartures();
	directory.reset(rowsOf(1), storeRevision(80, 1));
	assert.equal(directory.heldDepartures().length, 2);
	await time.runUntil(121_000);
	directory.tick();
	assert.deepEqual(directory.heldDepartures(), []);
});

test('a newer row that is invalid does not keep a target in use under its older entry, also while entries lapse (review case 7)', () => {
	for (const isStoreLost of [false, true]) {
		const {directory, departures, usable} = create();
		directory.reset(rows(['t1', 1], ['t2', 2]), storeRevision(2));
		if (isStoreLost) {
			directory.storeLost();
		}

		directory.set('t1', undefined, storeRevision(3), true);
		assert.deepEqual(usable(), ['t2']);
		const invalid = {entry: undefined, revision: storeRevision(4)};
		directory.reset(
			new Map([...rows(['t1', 5]), ['t2', invalid]]),
			storeRevision(5),
		);
		assert.deepEqual(usable(), ['t1']);
		assert.deepEqual(departures, [
			['t1', 'invalid-row'],
			['t2', 'invalid-row'],
		]);
	}
});
