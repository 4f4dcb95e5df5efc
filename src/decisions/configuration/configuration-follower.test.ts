import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createConfigurationFollower} from './configuration-follower.js';
import {checkConfiguration, checkEdit} from './fleet-configuration.js';
import type {ConfigurationChange} from './types.js';

const change = (version: number, value: number): ConfigurationChange => ({
	version,
	changeId: `change-${version}-${value}`,
	author: 'operator',
	atWallMs: 0,
	edits: [{op: 'set', key: 'contract.shareWeight', value}],
});

// A wrong change from a peer must not stay in force once the table service has a different one of that version.
test('a change from the table service replaces a different one from a peer', () => {
	const follower = createConfigurationFollower();
	follower.offer([change(1, 1)], 'table');
	follower.offer([change(2, 99)], 'peer');
	assert.equal(follower.current.values.get('contract.shareWeight'), 99);
	follower.offer([change(2, 2)], 'table');
	assert.equal(follower.current.values.get('contract.shareWeight'), 2);
	assert.equal(follower.mismatchCount, 1);
	assert.deepEqual(follower.changesAfter(1), [change(2, 2)]);
});

// A restarted VM must not count as caught up with a lower version than the one it had in force before. If a
// row of the table is corrupt, it can receive the rest from peers, but these may lag behind.
test('a follower that cannot read the table completely is caught up only at the head version', () => {
	const follower = createConfigurationFollower();
	follower.offer([change(1, 1)], 'peer');
	assert.equal(follower.current.version, 0);
	follower.offer([change(1, 1)], 'table-page');
	follower.requireVersion(2);
	assert.equal(follower.isCaughtUp, false);
	follower.offer([change(2, 2)], 'peer');
	assert.equal(follower.isCaughtUp, true);
});

// An exception without a reason could not be explained later, and a floor above its ceiling could not be
// guaranteed.
test('rejects exceptions without a reason and floors above ceilings', () => {
	const except = {
		op: 'except',
		scope: 'account:finishers',
		key: 'contract.ceilingTokensPerMinute',
		value: 10,
	} as const;
	assert.throws(() => checkEdit({...except, reason: '  '}), {field: 'reason'});
	const follower = createConfigurationFollower();
	follower.offer(
		[
			{
				...change(1, 1),
				edits: [
					{op: 'set', key: 'contract.floorTokensPerMinute', value: 20},
					{...except, reason: 'trial account'},
				],
			},
		],
		'table',
	);
	assert.throws(
		() => {
			checkConfiguration(follower.current);
		},
		{type: 'invalid-configuration', field: 'contract.floorTokensPerMinute'},
	);
});
