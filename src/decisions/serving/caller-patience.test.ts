import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCallerPatience} from './caller-patience.js';

test('guards against a caller that comes back displacing those that can be on time', () => {
	const patience = createCallerPatience(new VirtualTime());
	assert.equal(patience.arrived('r', 39_000), 0);
	assert.equal(patience.arrived('r', 35_500), 0);
	assert.equal(patience.arrived('r', 30_000), 2760);
	assert.equal(patience.arrived('r', 39_000), 0);
	assert.equal(patience.arrived('other', 6000), 0);
	assert.equal(patience.arrived('r', undefined), 0);
});

test('guards against all callers counting as late for good once their limit has become shorter', async () => {
	const time = new VirtualTime();
	const patience = createCallerPatience(time);
	patience.arrived('r', 39_000);
	await time.runUntil(31_000);
	assert.equal(patience.arrived('r', 20_000), 12_760);
	await time.runUntil(62_000);
	assert.equal(patience.arrived('r', 20_000), 0);
});
