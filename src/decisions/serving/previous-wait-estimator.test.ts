import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createPreviousWaitEstimator} from './previous-wait-estimator.js';

test('guards against a caller that comes back displacing those that can be on time', () => {
	const patience = createPreviousWaitEstimator(new VirtualTime());
	assert.equal(patience.estimateMs('r', 39_000), 0);
	assert.equal(patience.estimateMs('r', 35_500), 0);
	assert.equal(patience.estimateMs('r', 30_000), 2760);
	assert.equal(patience.estimateMs('r', 39_000), 0);
	assert.equal(patience.estimateMs('other', 6000), 0);
	assert.equal(patience.estimateMs('r', undefined), 0);
});

test('guards against all callers counting as late for good once their limit has become shorter', async () => {
	const time = new VirtualTime();
	const patience = createPreviousWaitEstimator(time);
	patience.estimateMs('r', 39_000);
	await time.runUntil(31_000);
	assert.equal(patience.estimateMs('r', 20_000), 12_760);
	await time.runUntil(62_000);
	assert.equal(patience.estimateMs('r', 20_000), 0);
});
