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
	ownTableVersion: 0,
	peerChangeVersion: 4,
	hasTriedStore: true,
	sinceLastRequestMs: Infinity,
};

test('a VM without the store reads from a peer that knows more, but not all the time', () => {
	assert.equal(shouldReadFromPeer(cutOff), true);
	assert.equal(shouldReadFromPeer({...cutOff, isStoreLost: false}), false);
	assert.equal(shouldReadFromPeer({...cutOff, sinceLastRequestMs: 100}), false);
	assert.equal(shouldReadFromPeer({...cutOff, peerChangeVersion: 0}), false);
	const served = {...cutOff, hasTargets: true, ownTableVersion: 4};
	assert.equal(shouldReadFromPeer(served), false);
	assert.equal(shouldReadFromPeer({...served, peerChangeVersion: 6}), true);
});

test('decodes what was encoded, and rejects other values', () => {
	const tables = {
		configuration: '{"version":4}',
		configurationVersion: 9,
		targets: [{targetId: 't1', version: 7, entry: fakeTargetEntry('t1')}],
		targetsVersion: 7,
		evacuations: {version: 6, zones: ['zone-1']},
	};
	const text = JSON.stringify(encodeRelayedTables(tables));
	const received: unknown = JSON.parse(text);
	assert.deepEqual(decodeRelayedTables(received), tables);
	assert.throws(() => decodeRelayedTables({}), {type: 'peer-protocol'});
});

test('when the store is back after an outage, a VM tries the store before it reads from a peer (andamio-grown, trouble-3, seed 75150400995)', () => {
	const announced = {...cutOff, hasTargets: true, ownTableVersion: 3};
	assert.equal(shouldReadFromPeer({...announced, hasTriedStore: false}), false);
	assert.equal(shouldReadFromPeer(announced), true);
});
