import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import {createMemberList} from './member-list.js';
import {createRetryClient} from './retry-client.js';
import {createRetryPool} from './retry-pool.js';

const bounds = () => ({extra: 430, windowMs: 10_000});

test('replay "an availability zone is lost": two coordinators give less than the fleet may send', async () => {
	const time = new VirtualTime();
	const pools = [0, 0].map((sinceMs) =>
		createRetryPool({clock: time, bounds, coordinatorSinceMs: () => sinceMs}),
	);
	const givenMs: number[] = [];
	for (let ms = 0; ms < 40_000; ms += 20) {
		await time.runUntil(ms);
		for (const pool of pools) {
			if (pool.tryTake('model')) {
				givenMs.push(ms);
			}
		}
	}

	assert.equal(givenMs[0], 10_000);
	for (let start = 0; start <= 30_000; start += 500) {
		const inWindow = givenMs.filter(
			(ms) => ms >= start && ms < start + 10_000,
		).length;
		assert.ok(inWindow <= 0.45 * 430, `${inWindow} from ${start}`);
	}

	assert.ok(givenMs.length > 400);
});

test('guards against a VM that never coordinated giving sends', () => {
	const pool = createRetryPool({
		clock: new VirtualTime(),
		bounds,
		coordinatorSinceMs: () => Infinity,
	});
	assert.equal(pool.tryTake('model'), false);
});

test('guards against a run that waits for leave from a coordinator that does not answer', async () => {
	const time = new VirtualTime();
	const mark = (address: string, powerMs: number) => ({
		address,
		availabilityZone: 'zone-1',
		instanceId: 'i',
		cpuMsPerSecond: powerMs,
		storeReadState: 'idle' as const,
	});
	const members = createMemberList(time, mark('b', 324));
	members.recordSeen(mark('a', 1350), 0);
	const sent: FleetMessage[] = [];
	const client = createRetryClient({
		timers: time,
		ownAddress: 'b',
		members,
		pool: {tryTake: () => true},
		send(_to, message) {
			sent.push(message);
		},
	});
	const answers: boolean[] = [];
	const note = (isGranted: boolean) => {
		answers.push(isGranted);
	};

	client.request('model', note);
	client.handleDecision('1', true);
	client.handleDecision('1', true);
	client.request('model', note);
	await time.runUntil(200);
	client.request('model', note).dispose();
	await time.runUntil(400);
	assert.deepEqual(answers, [true, false]);
	assert.deepEqual(
		sent.map((message) => message.kind === 'retry' && message.id),
		['1', '2', '2', '3'],
	);
});
