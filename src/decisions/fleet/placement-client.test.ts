import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	fakePlacementRequest,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {
	createGenerationScheduler,
	createRunRegistry,
	type PlacementDecision,
} from '../scheduling/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import {createMemberList} from './member-list.js';
import {createPlacementClient} from './placement-client.js';
import type {MemberInfo} from './types.js';

const member = (address: string): MemberInfo => ({
	address,
	availabilityZone: 'zone-1',
	instanceId: 'i',
	cpuMsPerSecond: 324,
	storeReadState: 'idle',
});

const request = fakePlacementRequest('q1.1', {objectiveMs: 1800});

const placedAt = (targetId: string): PlacementDecision => ({
	outcome: 'placed',
	placement: {
		targetId,
		copyTargetId: undefined,
		firstTokenMs: 200,
		memoryFraction: 0.5,
		isLate: false,
	},
});

function start(others: readonly string[]) {
	const time = new VirtualTime();
	const members = createMemberList(time, member('c'));
	for (const address of others) {
		members.recordSeen(member(address), 0);
	}

	const sent: Array<readonly [string, FleetMessage['kind']]> = [];
	const decisions: string[] = [];
	const client = createPlacementClient({
		clock: time,
		timers: time,
		ownAddress: 'c',
		members,
		scheduler: createGenerationScheduler({
			clock: time,
			random: new SeededRandomSource(1),
			registry: createRunRegistry(time),
			engines: () => [
				{
					targetId: 'own',
					availabilityZone: 'zone-1',
					slotCount: 24,
					capacityTokens: 34_000,
					isOutlier: false,
					turns: undefined,
				},
			],
			takeTurn() {
				// The engine has no rate limit.
			},
			onDecision() {
				// Nothing is queued.
			},
		}),
		send(address, {kind}) {
			sent.push([address, kind]);
		},
		onWaiting() {
			// The scheduler of this test has room.
		},
	});
	const pending = client.request(request, {
		onDecision(decision, decidedBy) {
			decisions.push(
				`${decision.outcome === 'placed' ? decision.placement.targetId : decision.outcome} by ${decidedBy}`,
			);
		},
	});
	return {time, members, client, sent, decisions, pending};
}

test('decides at once if no other VM is known, instead of waiting for one', () => {
	const {decisions} = start([]);
	assert.deepEqual(decisions, ['own by c']);
});

test('sends the request to the next VM within 200 ms if the coordinator is frozen, and cancels its late placement', async () => {
	const {time, client, sent, decisions} = start(['a', 'b']);
	assert.deepEqual(sent, [['a', 'place']]);
	await time.runUntil(200);
	assert.deepEqual(sent, [
		['a', 'place'],
		['a', 'place'],
		['a', 'cancel'],
		['b', 'place'],
	]);
	client.handleRemoteDecision('b', request.id, placedAt('e2'));
	assert.deepEqual(decisions, ['e2 by b']);
	client.handleRemoteDecision('a', request.id, placedAt('e1'));
	assert.deepEqual(sent.at(-1), ['a', 'cancel']);
	assert.deepEqual(decisions, ['e2 by b']);
});

test('decides locally if the VM is cut off from all others, so that its callers do not wait for ever', async () => {
	const {time, decisions} = start(['a', 'b']);
	await time.runUntil(400);
	assert.deepEqual(decisions, ['own by c']);
});

test('sends a queued request to a new coordinator, which would not know of it otherwise', async () => {
	const {time, members, client, sent, decisions} = start(['b']);
	client.handleRemoteDecision('b', request.id, {
		outcome: 'waiting',
		waitingCount: 3,
	});
	await time.runUntil(100);
	members.recordSeen(member('a'), 0);
	await time.runUntil(500);
	assert.deepEqual(sent.slice(0, 3), [
		['b', 'place'],
		['b', 'cancel'],
		['a', 'place'],
	]);
	client.handleRemoteDecision('a', request.id, placedAt('e1'));
	assert.deepEqual(decisions, ['e1 by a']);
});

test('cancels the placement when the caller has disconnected, so that no memory stays reserved', () => {
	const {client, sent, decisions, pending} = start(['a']);
	pending.dispose();
	assert.deepEqual(sent.at(-1), ['a', 'cancel']);
	client.handleRemoteDecision('a', request.id, placedAt('e1'));
	assert.deepEqual(decisions, []);
});
