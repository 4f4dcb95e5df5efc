import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakePlacementRequest as request,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createUrgentDemandEstimator} from './urgent-demand.js';

/** Requests arrive every 80 ms for 6 s and hold memory for about 0.58 s each, so that 7 run at a time. */
const afterArrivals = async (priority: number) => {
	const time = new VirtualTime();
	const demand = createUrgentDemandEstimator(time);
	for (let atMs = 0; atMs < 6000; atMs += 80) {
		await time.runUntil(atMs);
		demand.record(
			request('q', {promptTokens: 2550, expectedTokens: 8, priority}),
		);
	}

	return {time, demand};
};

test('expects the generations that run at a time by their arrivals, and more since these vary', async () => {
	const {demand} = await afterArrivals(0);
	const {count, tokensEach} = demand.moreUrgentThan('model', 2);
	assert.ok(count >= 7 && count <= 14);
	assert.equal(Math.round(tokensEach), 2558);
});

test('expects nothing of generations that are not more urgent, or of another service', async () => {
	const {demand} = await afterArrivals(2);
	assert.equal(demand.moreUrgentThan('model', 2).count, 0);
	assert.equal(demand.moreUrgentThan('other', 3).count, 0);
});

test('expects nothing some seconds after the last arrival, so that no memory lies idle', async () => {
	const {time, demand} = await afterArrivals(0);
	await time.runUntil(6000 + 15_000);
	assert.equal(demand.moreUrgentThan('model', 2).count, 0);
});

test('counts arrivals of the same and a higher urgency against the memory that is freed', async () => {
	const {demand} = await afterArrivals(1);
	assert.equal(demand.arrivingTokensPerMs('model', 0), 0);
	// 2,558 tokens every 80 ms, of which the last 6 s are 0.86 of the estimate.
	const perMs = demand.arrivingTokensPerMs('model', 1);
	assert.ok(perMs > 0.8 * 32 && perMs < 32);
});
