import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fakeEntry, VirtualTime} from '../../experiments/fakes/index.js';
import {decodeDigest, encodeDigest} from './load-digest.js';
import {createPeerList} from './peer-list.js';
import {decodeRelayedRows, encodeRelayedRows} from './relayed-rows.js';

const place = (address: string) => ({address, availabilityZone: 'zone-1'});

const digest = (sequence: number, readsStore = true) => ({
	instanceId: 'i',
	sequence,
	availabilityZone: 'zone-1',
	readsStore,
});

test('guards against digests that overtake each other', () => {
	const peers = createPeerList(new VirtualTime(), place('a'), 60_000);
	assert.equal(peers.heard('b', digest(2)), true);
	assert.equal(peers.heard('b', digest(1)), false);
	assert.equal(peers.heard('b', {...digest(1), instanceId: 'j'}), true);
	assert.equal(peers.vmCount, 2);
});

test('guards against nobody relaying the store when the first VMs lose it', async () => {
	const time = new VirtualTime();
	const peers = createPeerList(time, place('c'), 60_000);
	peers.heard('a', digest(1));
	peers.heard('b', digest(1));
	assert.equal(peers.isRelay(true), false);
	peers.heard('a', digest(2, false));
	assert.equal(peers.isRelay(true), true);
	assert.equal(peers.isRelay(false), false);
	peers.heard('a', digest(3));
	assert.equal(peers.isRelay(true), false);
	await time.runUntil(5000);
	assert.equal(peers.isRelay(true), true);
});

test('guards against digests and rows that change on the way or come from others', () => {
	const shares = new Map([
		[
			't1',
			{
				openCount: 2,
				memoryTokens: 7000,
				pendingPromptTokens: 3000,
				growthTokens: 400,
			},
		],
	]);
	const sent = {
		configurationVersion: 7,
		shares,
		...digest(4),
	};
	assert.deepEqual(decodeDigest(JSON.parse(encodeDigest(sent))), sent);
	const rows = [
		{targetId: 't1', version: 9, entry: fakeEntry('t1')},
		{targetId: 't2', version: 10, entry: undefined},
	];
	const [message] = encodeRelayedRows(rows);
	assert.deepEqual(decodeRelayedRows(JSON.parse(message)), rows);
	assert.equal(decodeRelayedRows({rows: [['t1']]}), undefined);
	assert.equal(decodeDigest({rows: []}), undefined);
});
