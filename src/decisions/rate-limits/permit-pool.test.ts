import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createPermitPool, type PermitPoolOptions} from './permit-pool.js';

const target = {targetId: 't1', requestsPerSecond: 4};
const newRequest = {targets: [target], maxWaitMs: 0, isUrgent: false};

function createPool(changes: Partial<PermitPoolOptions> = {}) {
	const time = new VirtualTime();
	const pool = createPermitPool({
		clock: time,
		random: new SeededRandomSource(3),
		rateFraction: () => 1,
		startedMs: () => -60_000,
		aheadTurns: {usual: 1, urgent: 3},
		isOneOfMany: () => false,
		...changes,
	});
	/** Counts the permits granted until a time, with a request every 10 ms. */
	const countGranted = async (untilMs: number, request = newRequest) => {
		let count = 0;
		for (let atMs = time.nowMs(); atMs < untilMs; atMs += 10) {
			await time.runUntil(atMs);
			count += pool.take(request).outcome === 'granted' ? 1 : 0;
		}

		return count;
	};

	return {time, pool, countGranted};
}

test('grants permits at the rate of the target, one of them ahead after a pause', async () => {
	const {countGranted} = createPool();
	assert.equal(await countGranted(4000), 4 * 4 + 1);
});

test('tells when the next turn comes, and spreads the callers that it denies', () => {
	const {pool} = createPool();
	pool.take(newRequest);
	pool.take(newRequest);
	const denied = [1, 2, 3].map(() => pool.take(newRequest));
	assert.deepEqual(denied, [
		{outcome: 'denied', waitMs: 250, retryAfterMs: 250},
		{outcome: 'denied', waitMs: 250, retryAfterMs: 500},
		{outcome: 'denied', waitMs: 250, retryAfterMs: 750},
	]);
});

test('gives each waiting request a turn of its own', () => {
	const {pool} = createPool();
	const waiting = {...newRequest, maxWaitMs: 600};
	const waits = [1, 2, 3, 4, 5].map(() => {
		const decision = pool.take(waiting);
		return [decision.outcome, decision.waitMs];
	});
	assert.deepEqual(waits, [
		['granted', 0],
		['granted', 0],
		['granted', 250],
		['granted', 500],
		['denied', 750],
	]);
});

test('a run that continues goes ahead of new requests, which then wait', () => {
	const {pool} = createPool();
	const urgent = {...newRequest, isUrgent: true};
	const outcomes = [newRequest, newRequest, newRequest, urgent, urgent, urgent];
	assert.deepEqual(
		outcomes.map((request) => pool.take(request).outcome),
		['granted', 'granted', 'denied', 'granted', 'granted', 'denied'],
	);
	assert.equal(pool.waitMs(target), 750);
});

test('takes the target whose turn comes first', () => {
	const {pool} = createPool();
	const targets = [target, {targetId: 't2', requestsPerSecond: 1}];
	const taken = [1, 2, 3, 4].map(() =>
		pool.take({...newRequest, targets, maxWaitMs: 300}),
	);
	assert.deepEqual(
		taken.map(
			(decision) => decision.outcome === 'granted' && decision.targetId,
		),
		['t1', 't1', 't2', 't2'],
	);
});

test('a pool that starts grants nothing for an interval, since another may have used the turns before', async () => {
	const {time, pool} = createPool({startedMs: () => 0});
	await time.runUntil(124);
	assert.equal(pool.take(newRequest).outcome, 'denied');
	await time.runUntil(376);
	assert.equal(pool.take(newRequest).outcome, 'granted');
});

test('grants only the fraction of the rate that the live VMs have', async () => {
	const {countGranted} = createPool({rateFraction: () => 0.5});
	assert.equal(await countGranted(4000), 2 * 4 + 1);
});

test('a limit of 0 still lets one request through every four seconds, which shows when it is lifted', async () => {
	const {countGranted} = createPool();
	const targets = [{targetId: 't0', requestsPerSecond: 0}];
	assert.equal(await countGranted(16_000, {...newRequest, targets}), 4 + 1);
});

test('one pool of many first waits for a part of its interval and uses no turn ahead, as all may begin at the same moment', async () => {
	const {time, pool} = createPool({
		rateFraction: () => 1 / 90,
		isOneOfMany: () => true,
	});
	await time.runUntil(60_000);
	const waitMs = pool.waitMs(target);
	assert.ok(waitMs > 0 && waitMs <= pool.intervalMs(target), `${waitMs}`);
	await time.runUntil(60_000 + waitMs);
	const urgent = {...newRequest, isUrgent: true};
	assert.deepEqual(
		[pool.take(newRequest).outcome, pool.take(urgent).outcome],
		['granted', 'denied'],
	);
});
