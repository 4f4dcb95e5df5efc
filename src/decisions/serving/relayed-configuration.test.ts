import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {
	decodeRelayedConfiguration,
	encodeRelayedConfiguration,
} from './relayed-configuration.js';

test('decodes what was encoded, and rejects other messages', () => {
	const change = {
		after: storeRevision(4, 2),
		revision: storeRevision(9, 2),
		packed: 'q1YqSy0qzszPAwA=',
		evacuations: {
			revision: storeRevision(9, 2),
			zones: ['zone-1'],
			held: ['zone-2'],
			removed: ['zone-3'],
		},
	};
	const text = encodeRelayedConfiguration(change);
	assert.ok(text);
	assert.deepEqual(decodeRelayedConfiguration(JSON.parse(text)), change);
	assert.equal(
		decodeRelayedConfiguration({after: 1, version: 2, rows: []}),
		undefined,
	);
});

test('does not relay a configuration that would need a datagram of many fragments, which is often lost', () => {
	const packed = 'x'.repeat(40_000);
	const change = {
		after: storeRevision(4, 2),
		revision: storeRevision(9, 2),
		packed,
		evacuations: undefined,
	};
	assert.equal(encodeRelayedConfiguration(change), undefined);
});
