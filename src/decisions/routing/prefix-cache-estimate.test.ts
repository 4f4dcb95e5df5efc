import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPrefixCacheEstimate} from './prefix-cache-estimate.js';
import {createPrefixIndex} from './prefix-index.js';

// Guards against trust in old events and in what a gap may have undone.
test('believes less with age and after a gap, nothing after an eviction', () => {
	const index = createPrefixIndex();
	const affinity = createPrefixCacheEstimate(index, 3);
	const stored = (sequence: number, prefixHash: string) => ({
		sequence,
		change: 'stored' as const,
		prefixHash,
	});
	affinity.recordEvents([stored(1, 'a'), stored(2, 'a/b')], 0);
	const fresh = affinity.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 0);
	assert.equal(fresh, 512);
	const old = affinity.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000);
	assert.equal(old < fresh && old > 0, true);
	affinity.recordEvents([stored(9, 'c')], 60_000);
	assert.equal(
		affinity.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000) < old,
		true,
	);
	affinity.recordEvents(
		[{sequence: 10, change: 'evicted', prefixHash: 'a'}],
		60_000,
	);
	assert.equal(
		affinity.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000),
		0,
	);
	assert.equal(affinity.lastSequence, 10);
});
