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

const demand = fakePlacementRequest('q1.1', {objectiveMs: 1800});

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
	const answers: string[] = [];
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
				},
			],
			onDecision() {
				// Nothing waits.
			},
		}),
		send(address, {kind}) {
			sent.push([address, kind]);
		},
		onWaiting() {
			// The scheduler of this test has room.
		},
	});
	const asking = client.request(demand, {
		onDecision(answer, decidedBy) {
			answers.push(
				`${answer.outcome === 'placed' ? answer.placement.targetId : answer.outcome} by ${decidedBy}`,
			);
		},
	});
	return {time, members, client, sent, answers, asking};
}

test('guards against a placement that waits for a VM of which nobody hears', () => {
	const {answers} = start([]);
	assert.deepEqual(answers, ['own by c']);
});

test('replay "the coordinator is frozen": the next VM is asked within a fraction of the objective, and a late answer is withdrawn', async () => {
	const {time, client, sent, answers} = start(['a', 'b']);
	assert.deepEqual(sent, [['a', 'place']]);
	await time.runUntil(200);
	assert.deepEqual(sent, [
		['a', 'place'],
		['a', 'place'],
		['a', 'cancel'],
		['b', 'place'],
	]);
	client.handleRemoteDecision('b', demand.id, placedAt('e2'));
	assert.deepEqual(answers, ['e2 by b']);
	client.handleRemoteDecision('a', demand.id, placedAt('e1'));
	assert.deepEqual(sent.at(-1), ['a', 'cancel']);
	assert.deepEqual(answers, ['e2 by b']);
});

test('replay "a VM is cut off from all others": it decides by itself', async () => {
	const {time, answers} = start(['a', 'b']);
	await time.runUntil(400);
	assert.deepEqual(answers, ['own by c']);
});

test('guards against a waiting generation that a new coordinator does not know', async () => {
	const {time, members, client, sent, answers} = start(['b']);
	client.handleRemoteDecision('b', demand.id, {
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
	client.handleRemoteDecision('a', demand.id, placedAt('e1'));
	assert.deepEqual(answers, ['e1 by a']);
});

test('guards against memory kept for a caller that has left', () => {
	const {client, sent, answers, asking} = start(['a']);
	asking.dispose();
	assert.deepEqual(sent.at(-1), ['a', 'cancel']);
	client.handleRemoteDecision('a', demand.id, placedAt('e1'));
	assert.deepEqual(answers, []);
});
