import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createPreviousWaitEstimator} from './previous-wait-estimator.js';

test('a shorter time limit than usual counts as time waited, so that retries do not displace requests on time', () => {
	const estimator = createPreviousWaitEstimator(new VirtualTime());
	assert.equal(estimator.estimateMs('r', 39_000), 0);
	assert.equal(estimator.estimateMs('r', 35_500), 0);
	assert.equal(estimator.estimateMs('r', 30_000), 2760);
	assert.equal(estimator.estimateMs('r', 39_000), 0);
	assert.equal(estimator.estimateMs('other', 6000), 0);
	assert.equal(estimator.estimateMs('r', undefined), 0);
});

test('does not treat all callers as late forever after their time limit has become shorter', async () => {
	const time = new VirtualTime();
	const estimator = createPreviousWaitEstimator(time);
	estimator.estimateMs('r', 39_000);
	await time.runUntil(31_000);
	assert.equal(estimator.estimateMs('r', 20_000), 12_760);
	await time.runUntil(62_000);
	assert.equal(estimator.estimateMs('r', 20_000), 0);
});
