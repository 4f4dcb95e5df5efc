import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fakeTargetEntry, VirtualTime} from '../../experiments/fakes/index.js';
import {createTargetDirectory, type Departure} from './target-directory.js';

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

test('targets that drain or whose entry was removed are not usable', () => {
	const {directory, departures, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), 1);
	directory.set('t2', fakeTargetEntry('t2'), 2);
	directory.set('t1', fakeTargetEntry('t1', {state: 'draining'}), 3);
	directory.set('t2', undefined, 4);
	assert.deepEqual(usable(), []);
	assert.deepEqual(departures, [
		['t1', 'draining'],
		['t2', 'removed'],
	]);
});

test('an older relayed row that arrives late does not bring a draining target back', () => {
	const {directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1', {state: 'draining'}), 8);
	directory.set('t1', fakeTargetEntry('t1'), 7);
	assert.deepEqual(usable(), []);
});

test('a snapshot that is older than a relayed row does not bring a draining target back', () => {
	const {directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), 5);
	directory.set('t1', fakeTargetEntry('t1', {state: 'draining'}), 8);
	directory.reset(new Map([['t1', fakeTargetEntry('t1')]]), 7);
	assert.deepEqual(usable(), []);
	directory.reset(new Map([['t1', fakeTargetEntry('t1')]]), 9);
	assert.deepEqual(usable(), ['t1']);
});

test('keeps live targets whose entries lapse while the store is lost', async () => {
	const {time, directory, departures, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), 1);
	directory.set('t2', fakeTargetEntry('t2'), 2);
	directory.storeLost();
	directory.set('t1', undefined, 3);
	directory.set('t2', undefined, 4);
	directory.storeRegained();
	assert.deepEqual(usable(), ['t1', 't2']);
	directory.set('t1', fakeTargetEntry('t1'), 5);
	await time.runUntil(2100);
	directory.tick();
	assert.deepEqual(usable(), ['t1']);
	assert.deepEqual(departures, [['t2', 'lapsed']]);
});

test('treats a restarted target as a new one', () => {
	const {directory, departures} = create();
	directory.set('t1', fakeTargetEntry('t1'), 1);
	directory.set('t1', fakeTargetEntry('t1', {bornMs: 2}), 2);
	assert.deepEqual(departures, [['t1', 'restarted']]);
	assert.equal(directory.get('t1')?.entry.bornMs, 2);
});

test('does not use a target for a while after it refused a connection', async () => {
	const {time, directory, usable} = create();
	directory.set('t1', fakeTargetEntry('t1'), 1);
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
	directory.set('t1', fakeTargetEntry('t1'), 1);
	directory.markReplaced('t1');
	assert.deepEqual(usable(), []);
	assert.deepEqual(departures, [['t1', 'misdirected']]);
});
