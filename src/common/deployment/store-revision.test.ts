import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	isNewerRevision,
	newerRevision,
	storeRevision,
} from './store-revision.js';

test('a lower version of a newer era is newer, so that a restored store is not taken for a stale one', () => {
	const restored = storeRevision(80, 1);
	const before = storeRevision(100);
	assert.equal(isNewerRevision(restored, before), true);
	assert.equal(isNewerRevision(before, restored), false);
	assert.equal(isNewerRevision(before, before), false);
	assert.deepEqual(newerRevision(before, restored), restored);
	assert.equal(isNewerRevision(storeRevision(81, 1), restored), true);
});
