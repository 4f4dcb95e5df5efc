import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import {createMemberList} from './member-list.js';
import {createRetryClient} from './retry-client.js';
import {createRetryPool} from './retry-pool.js';

const bounds = () => ({extra: 430, windowMs: 10_000});

test('keeps the grants of two coordinators below the limit of the fleet when an availability zone is cut off', async () => {
	const time = new VirtualTime();
	const pools = [0, 0].map((sinceMs) =>
		createRetryPool({clock: time, bounds, coordinatorSinceMs: () => sinceMs}),
	);
	const grantedMs: number[] = [];
	for (let ms = 0; ms < 40_000; ms += 20) {
		await time.runUntil(ms);
		for (const pool of pools) {
			if (pool.tryTake('model')) {
				grantedMs.push(ms);
			}
		}
	}

	assert.equal(grantedMs[0], 10_000);
	for (let start = 0; start <= 30_000; start += 500) {
		const inWindow = grantedMs.filter(
			(ms) => ms >= start && ms < start + 10_000,
		).length;
		// The VMs' own shares take the other 0.55.
		assert.ok(inWindow <= 0.45 * 430, `${inWindow} from ${start}`);
	}

	assert.ok(grantedMs.length > 400);
});

test('grants nothing on a VM that is not coordinator', () => {
	const pool = createRetryPool({
		clock: new VirtualTime(),
		bounds,
		coordinatorSinceMs: () => Infinity,
	});
	assert.equal(pool.tryTake('model'), false);
});

test('refuses a retry if the coordinator does not respond, so that no run waits for ever', async () => {
	const time = new VirtualTime();
	const info = (address: string, cpuMsPerSecond: number) => ({
		address,
		availabilityZone: 'zone-1',
		instanceId: 'i',
		cpuMsPerSecond,
		storeReadState: 'idle' as const,
	});
	const members = createMemberList(time, info('b', 324));
	members.recordSeen(info('a', 1350), 0);
	const sent: FleetMessage[] = [];
	const client = createRetryClient({
		timers: time,
		ownAddress: 'b',
		members,
		pool: {
			tryTake: () => true,
			addCredits() {
				// No VM cedes retries here.
			},
		},
		send(_to, message) {
			sent.push(message);
		},
	});
	const decisions: boolean[] = [];
	const onDecision = (isGranted: boolean) => {
		decisions.push(isGranted);
	};

	client.request('model', onDecision);
	client.handleDecision('1', true);
	client.handleDecision('1', true);
	client.request('model', onDecision);
	await time.runUntil(200);
	client.request('model', onDecision).dispose();
	await time.runUntil(400);
	assert.deepEqual(decisions, [true, false]);
	assert.deepEqual(
		sent.map((message) => message.kind === 'retry' && message.id),
		['1', '2', '2', '3'],
	);
});
