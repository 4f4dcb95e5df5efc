import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {fakeTargetEntry} from '../../experiments/fakes/index.js';
import {
	decodeRelayedTables,
	encodeRelayedTables,
	shouldReadFromPeer,
} from './relayed-tables.js';

const cutOff = {
	isStoreLost: true,
	hasTargets: false,
	ownTableRevision: storeRevision(0),
	peerChangeRevision: storeRevision(4),
	isStoreIncomplete: false,
	hasTriedStore: true,
	sinceLastRequestMs: Infinity,
};

test('a VM without the store reads from a peer that knows more, but not all the time', () => {
	assert.equal(shouldReadFromPeer(cutOff), true);
	assert.equal(shouldReadFromPeer({...cutOff, isStoreLost: false}), false);
	assert.equal(shouldReadFromPeer({...cutOff, sinceLastRequestMs: 100}), false);
	assert.equal(
		shouldReadFromPeer({...cutOff, peerChangeRevision: storeRevision(0)}),
		false,
	);
	const served = {
		...cutOff,
		hasTargets: true,
		ownTableRevision: storeRevision(4),
	};
	assert.equal(shouldReadFromPeer(served), false);
	assert.equal(
		shouldReadFromPeer({...served, peerChangeRevision: storeRevision(6)}),
		true,
	);
});

test('decodes what was encoded, and rejects other values', () => {
	const tables = {
		configuration: '{"version":4}',
		configurationRevision: storeRevision(9, 1),
		targets: [
			{
				targetId: 't1',
				revision: storeRevision(7, 1),
				entry: fakeTargetEntry('t1'),
				isInvalid: false,
			},
			{
				targetId: 't4',
				revision: storeRevision(6, 1),
				entry: undefined,
				isInvalid: true,
			},
		],
		targetsRevision: storeRevision(7, 1),
		evacuations: {
			revision: storeRevision(6, 1),
			zones: ['zone-1'],
			held: [],
			removed: [],
		},
		departures: [
			{targetId: 't2', bornMs: undefined, returnAfter: storeRevision(5, 1)},
			{targetId: 't3', bornMs: 40, returnAfter: storeRevision(6, 1)},
		],
	};
	const text = JSON.stringify(encodeRelayedTables(tables));
	const received: unknown = JSON.parse(text);
	assert.deepEqual(decodeRelayedTables(received), tables);
	assert.throws(() => decodeRelayedTables({}), {type: 'peer-protocol'});
});

test('when the store is back after an outage, a VM tries the store before it reads from a peer (andamio-grown, trouble-3, seed 75150400995)', () => {
	const announced = {
		...cutOff,
		hasTargets: true,
		ownTableRevision: storeRevision(3),
	};
	assert.equal(shouldReadFromPeer({...announced, hasTriedStore: false}), false);
	assert.equal(shouldReadFromPeer(announced), true);
});

test('a VM that has started from an older copy of the store asks a peer although it can read the store', () => {
	const started = {
		...cutOff,
		isStoreLost: false,
		hasTargets: true,
		ownTableRevision: storeRevision(4, 1),
		isStoreIncomplete: true,
	};
	assert.equal(shouldReadFromPeer(started), true);
	assert.equal(
		shouldReadFromPeer({...started, sinceLastRequestMs: 1400}),
		false,
	);
	assert.equal(
		shouldReadFromPeer({...started, isStoreIncomplete: false}),
		false,
	);
});

test('a row of an earlier era is not handed over as one that was written in the present era', () => {
	const text = JSON.stringify(
		encodeRelayedTables({
			configuration: '{}',
			configurationRevision: storeRevision(3, 1),
			targets: [
				{
					targetId: 't1',
					revision: storeRevision(95),
					entry: fakeTargetEntry('t1'),
					isInvalid: false,
				},
			],
			targetsRevision: storeRevision(80, 1),
			evacuations: undefined,
			departures: [],
		}),
	);
	const {targets} = decodeRelayedTables(JSON.parse(text));
	assert.deepEqual(targets[0].revision, storeRevision(0, 1));
});
