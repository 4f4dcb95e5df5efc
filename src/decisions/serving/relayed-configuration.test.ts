import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	decodeRelayedConfiguration,
	encodeRelayedConfiguration,
} from './relayed-configuration.js';

test('decodes what was encoded, and rejects other messages', () => {
	const change = {
		afterVersion: 4,
		version: 9,
		packed: 'q1YqSy0qzszPAwA=',
		evacuations: {version: 9, zones: ['zone-1']},
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
		afterVersion: 4,
		version: 9,
		packed,
		evacuations: undefined,
	};
	assert.equal(encodeRelayedConfiguration(change), undefined);
});
