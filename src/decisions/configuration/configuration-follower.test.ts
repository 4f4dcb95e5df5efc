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

// Guards against a wrong change of a peer that stays in force after the table was read.
test('the table replaces a different change of a peer', () => {
	const follower = createConfigurationFollower();
	follower.offer([change(1, 1)], 'table');
	follower.offer([change(2, 99)], 'peer');
	assert.equal(follower.current.values.get('contract.shareWeight'), 99);
	follower.offer([change(2, 2)], 'table');
	assert.equal(follower.current.values.get('contract.shareWeight'), 2);
	assert.equal(follower.mismatchCount, 1);
	assert.deepEqual(follower.changesAfter(1), [change(2, 2)]);
});

// Guards against a restarted VM that becomes ready below the version it had in force before.
test('a follower that cannot read the table whole waits for the head version', () => {
	const follower = createConfigurationFollower();
	follower.offer([change(1, 1)], 'peer');
	assert.equal(follower.current.version, 0);
	follower.offer([change(1, 1)], 'table-page');
	follower.requireVersion(2);
	assert.equal(follower.isCaughtUp, false);
	follower.offer([change(2, 2)], 'peer');
	assert.equal(follower.isCaughtUp, true);
});

// Guards against exceptions nobody can explain later, and against floors that cannot be kept.
test('refuses exceptions without a reason and floors above ceilings', () => {
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
