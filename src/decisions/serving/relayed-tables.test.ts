import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fakeTargetEntry} from '../../experiments/fakes/index.js';
import {
	decodeRelayedTables,
	encodeRelayedTables,
	shouldReadFromPeer,
} from './relayed-tables.js';

const cutOff = {
	isStoreLost: true,
	hasTargets: false,
	ownVersion: 0,
	peerChangeVersion: 4,
	hasTriedStore: true,
	sinceLastRequestMs: Infinity,
};

test('guards against a VM without the store that asks nobody, and one that asks all the time', () => {
	assert.equal(shouldReadFromPeer(cutOff), true);
	assert.equal(shouldReadFromPeer({...cutOff, isStoreLost: false}), false);
	assert.equal(shouldReadFromPeer({...cutOff, sinceLastRequestMs: 100}), false);
	assert.equal(shouldReadFromPeer({...cutOff, peerChangeVersion: 0}), false);
	const served = {...cutOff, hasTargets: true, ownVersion: 4};
	assert.equal(shouldReadFromPeer(served), false);
	assert.equal(shouldReadFromPeer({...served, peerChangeVersion: 6}), true);
});

test('guards against tables that change on the way', () => {
	const tables = {
		configuration: '{"version":4}',
		configurationVersion: 9,
		targets: [{targetId: 't1', version: 7, entry: fakeTargetEntry('t1')}],
		targetsVersion: 7,
	};
	const text = JSON.stringify(encodeRelayedTables(tables));
	const travelled: unknown = JSON.parse(text);
	assert.deepEqual(decodeRelayedTables(travelled), tables);
	assert.throws(() => decodeRelayedTables({}), {type: 'peer-protocol'});
});

test('replay "the store is back after an outage": no VM asks the one that tells of it before it has tried the store (andamio-grown, trouble-3, seed 75150400995)', () => {
	const told = {...cutOff, hasTargets: true, ownVersion: 3};
	assert.equal(shouldReadFromPeer({...told, hasTriedStore: false}), false);
	assert.equal(shouldReadFromPeer(told), true);
});
