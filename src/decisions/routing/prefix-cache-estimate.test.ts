import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPrefixCacheEstimate} from './prefix-cache-estimate.js';
import {createPrefixIndex} from './prefix-index.js';

// Old events may be outdated, and a missed event may have been the eviction of a prefix, so both must
// reduce the expected cache hits.
test('expects fewer cached tokens with age and after a gap, and none after an eviction', () => {
	const index = createPrefixIndex();
	const estimate = createPrefixCacheEstimate(index, 3);
	const stored = (sequence: number, prefixHash: string) => ({
		sequence,
		change: 'stored' as const,
		prefixHash,
	});
	estimate.recordEvents([stored(1, 'a'), stored(2, 'a/b')], 0);
	const fresh = estimate.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 0);
	assert.equal(fresh, 512);
	const old = estimate.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000);
	assert.equal(old < fresh && old > 0, true);
	estimate.recordEvents([stored(9, 'c')], 60_000);
	assert.equal(
		estimate.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000) < old,
		true,
	);
	estimate.recordEvents(
		[{sequence: 10, change: 'evicted', prefixHash: 'a'}],
		60_000,
	);
	assert.equal(
		estimate.expectedCachedTokens(index.rowsOf(['a', 'a/b']), 60_000),
		0,
	);
	assert.equal(estimate.lastSequence, 10);
});
