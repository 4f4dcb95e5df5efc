import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDisposableStore} from '../../common/index.js';
import {
	createFakeCallerResponse,
	fakeAdmittedRequest,
	fakeResponseHead,
	fakeSessionServices,
	fakeTargetEntry,
	fakeTrackedCall,
	FakeTargetClient,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {startCallSession} from './call-session.js';

/** Starts an idempotent call on a VM whose own share of the retry budget is used up. */
function start() {
	const time = new VirtualTime();
	const targetClient = new FakeTargetClient();
	const response = createFakeCallerResponse();
	const poolRequests: Array<(isGranted: boolean) => void> = [];
	const unusableIds = new Set<string>();
	let withdrawnCount = 0;
	const targets = ['t1', 't2', 't3'].map((id) => fakeTargetEntry(id));
	const session = startCallSession(fakeAdmittedRequest(), response, {
		...fakeSessionServices(
			time,
			targetClient,
			() => {
				// The log is not part of these tests.
			},
			(_service, onDecision) => {
				poolRequests.push(onDecision);
				return {
					dispose() {
						withdrawnCount++;
					},
				};
			},
		),
		findTarget({avoid}, listener) {
			const target = targets.find(
				({id}) => !avoid.has(id) && !unusableIds.has(id),
			);
			if (target) {
				listener.onFound(target, undefined);
			} else {
				listener.onNone('no target of the service is usable');
			}

			return createDisposableStore();
		},
		trackCall: fakeTrackedCall,
		leavingReason: () => undefined,
	});
	const respond = (index: number, status: number, text: string) => {
		const {listener} = targetClient.sends[index];
		listener.onHead(fakeResponseHead('q1', {status}));
		listener.onData(new TextEncoder().encode(text));
		listener.onEnd();
	};

	return {
		time,
		targetClient,
		response,
		poolRequests,
		unusableIds,
		session,
		respond,
		withdrawnCount: () => withdrawnCount,
	};
}

const targetAddresses = ({sends}: FakeTargetClient) =>
	sends.map(({address}) => address);

test('a call is not lost at a failing target because its own VM has no retry left while the fleet has', async () => {
	const {time, response, poolRequests, respond} = start();
	respond(0, 500, 'broken');
	await time.runUntil(5);
	assert.deepEqual([poolRequests.length, response.ending], [1, undefined]);
	poolRequests[0](true);
	respond(1, 200, 'stock 4');
	assert.deepEqual([response.status, response.text], [200, 'stock 4']);
});

test('a call whose retry the fleet does not grant gives up at once with the error that it has', () => {
	const {response, poolRequests, targetClient, respond} = start();
	respond(0, 500, 'broken');
	poolRequests[0](false);
	assert.deepEqual([response.status, response.text], [500, 'broken']);
	assert.equal(targetClient.sends.length, 1);
});

test('a call that waits for the retry pool ends at its time limit and is not sent afterwards', async () => {
	const {time, response, poolRequests, targetClient, withdrawnCount} = start();
	await time.runUntil(1001);
	assert.deepEqual([response.status, withdrawnCount()], [504, 1]);
	poolRequests[0](true);
	assert.equal(targetClient.sends.length, 1);
});

test('a call hedges only once, also when the retry pool is slow or denies the hedge', async () => {
	const {time, response, poolRequests, targetClient, respond} = start();
	await time.runUntil(400);
	assert.equal(poolRequests.length, 1);
	poolRequests[0](false);
	await time.runUntil(800);
	assert.deepEqual([poolRequests.length, targetClient.sends.length], [1, 1]);
	respond(0, 200, 'stock 4');
	assert.equal(response.text, 'stock 4');
});

test('a call answered while it waits for the retry pool is not sent a second time', async () => {
	const {time, poolRequests, targetClient, respond, withdrawnCount} = start();
	await time.runUntil(260);
	respond(0, 200, 'stock 4');
	assert.equal(withdrawnCount(), 1);
	poolRequests[0](true);
	assert.equal(targetClient.sends.length, 1);
});

test('a retry goes to a target that is still usable when the retry pool has answered', () => {
	const {poolRequests, targetClient, unusableIds, respond} = start();
	respond(0, 500, 'broken');
	unusableIds.add('t2');
	poolRequests[0](true);
	assert.deepEqual(targetAddresses(targetClient), [
		'10.0.0.1:80',
		'10.0.0.3:80',
	]);
});

test('a caller that leaves while its call waits for the retry pool causes no further send', () => {
	const {poolRequests, targetClient, session, respond} = start();
	respond(0, 500, 'broken');
	session.callerDisconnected();
	poolRequests[0](true);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(session.isDone, true);
});

const refusedConnection = {
	unsent: true,
	connectionEnded: false,
	reason: 'refused',
};

test('a call that no target has received goes on although the pool has denied the hedge that it asked for before', async () => {
	const {time, response, poolRequests, targetClient, respond} = start();
	await time.runUntil(260);
	targetClient.sends[0].listener.onFailure(refusedConnection);
	assert.deepEqual([poolRequests.length, targetClient.sends.length], [1, 1]);
	poolRequests[0](false);
	respond(1, 200, 'stock 4');
	assert.deepEqual([response.status, response.text], [200, 'stock 4']);
});

test('refused connections cost no retry and lead to the last target that is left', () => {
	const {response, poolRequests, targetClient, respond} = start();
	targetClient.sends[0].listener.onFailure(refusedConnection);
	targetClient.sends[1].listener.onFailure(refusedConnection);
	respond(2, 200, 'stock 4');
	assert.deepEqual([response.text, poolRequests.length], ['stock 4', 0]);
});
