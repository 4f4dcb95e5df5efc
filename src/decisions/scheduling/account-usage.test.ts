import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createAccountUsage} from './account-usage.js';

const held = (tokens: Record<string, number>) => () =>
	new Map(Object.entries(tokens));

test('a single account is never above its share, so that it may use all memory', () => {
	const usage = createAccountUsage(new VirtualTime());
	usage.recordRequest('model', 'a');
	usage.update('model', held({a: 90_000}));
	assert.equal(usage.standingOf('model', 'a'), 'below');
});

test('counts accounts that ask without holding memory, since they share it too', () => {
	const usage = createAccountUsage(new VirtualTime());
	for (const account of ['a', 'b', 'c']) {
		usage.recordRequest('model', account);
	}

	usage.update('model', held({a: 90_000, b: 36_000}));
	assert.equal(usage.standingOf('model', 'a'), 'far above');
	assert.equal(usage.standingOf('model', 'b'), 'below');
	assert.equal(usage.standingOf('model', 'c'), 'below');
});

test('a new coordinator starts from the runs that it is told, without a time in which all accounts are equal', () => {
	const usage = createAccountUsage(new VirtualTime());
	usage.update('model', held({a: 60_000, b: 20_000}));
	assert.equal(usage.standingOf('model', 'a'), 'above');
});

test('forgives the use of an account within seconds, and forgets the account', async () => {
	const time = new VirtualTime();
	const usage = createAccountUsage(time);
	usage.update('model', held({a: 60_000, b: 20_000}));
	await time.runUntil(5000);
	usage.update('model', held({b: 40_000}));
	assert.equal(usage.standingOf('model', 'a'), 'below');
	await time.runUntil(60_000);
	usage.update('model', held({b: 40_000}));
	assert.equal(usage.standingOf('model', 'b'), 'below');
});
