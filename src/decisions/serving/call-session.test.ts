import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type CallerRequest,
	createDisposableStore,
	type RouteRule,
} from '../../common/index.js';
import {
	createFakeCallerResponse,
	fakeAdmittedRequest,
	fakeTargetEntry,
	fakeResponseHead,
	fakeSessionServices,
	fakeTrackedCall,
	FakeTargetClient,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {startCallSession} from './call-session.js';
import type {
	CallTargetListener,
	CallTargetSearch,
} from './call-target-search.js';

const bytes = (text: string) => new TextEncoder().encode(text);

function start(
	route: Partial<RouteRule> = {},
	request: Partial<CallerRequest> = {},
	findTarget?: CallTargetSearch['find'],
) {
	const time = new VirtualTime();
	const targetClient = new FakeTargetClient();
	const response = createFakeCallerResponse();
	const log: string[] = [];
	const targets = [
		fakeTargetEntry('t1'),
		fakeTargetEntry('t2'),
		fakeTargetEntry('t3'),
	];
	const session = startCallSession(
		fakeAdmittedRequest(route, request),
		response,
		{
			...fakeSessionServices(time, targetClient, (event, record) => {
				log.push(`${event} ${String(record.outcome ?? record.reason ?? '')}`);
			}),
			findTarget:
				findTarget ??
				(({avoid}, listener) => {
					const target = targets.find(({id}) => !avoid.has(id));
					if (target) {
						listener.onFound(target, undefined);
					} else {
						listener.onNone('no target of the service is usable');
					}

					return createDisposableStore();
				}),
			leavingReason: () => undefined,
			trackCall: fakeTrackedCall,
		},
	);
	const respond = (index: number, status: number, text: string) => {
		const {listener} = targetClient.sends[index];
		listener.onHead(fakeResponseHead('q1', {status}));
		listener.onData(bytes(text));
		listener.onEnd();
	};

	return {time, targetClient, response, log, session, respond};
}

const unsafe: Partial<RouteRule> = {kind: 'non-idempotent', maxAttempts: 1};

test('retries an idempotent call at another target after a 500', () => {
	const {targetClient, response, respond} = start();
	respond(0, 500, 'no');
	assert.equal(targetClient.sends.length, 2);
	assert.notEqual(targetClient.sends[0].address, targetClient.sends[1].address);
	respond(1, 200, 'stock 4');
	assert.deepEqual([response.status, response.text], [200, 'stock 4']);
});

test('sends a call no more often than the route allows', () => {
	const {targetClient, response, respond} = start();
	respond(0, 500, 'first');
	respond(1, 500, 'second');
	assert.equal(targetClient.sends.length, 2);
	assert.deepEqual([response.status, response.text], [500, 'second']);
});

test('does not retry a non-idempotent call after its response was lost', () => {
	const {targetClient, response} = start(unsafe);
	targetClient.sends[0].listener.onFailure({
		unsent: false,
		connectionEnded: true,
		reason: 'reset',
	});
	assert.equal(targetClient.sends.length, 1);
	assert.deepEqual([response.status, response.ending], [502, 'own']);
	assert.equal(response.retryAfterS, undefined);
});

test('retries a non-idempotent call that no target has run', () => {
	const {targetClient, response, respond} = start(unsafe);
	targetClient.sends[0].listener.onFailure({
		unsent: true,
		connectionEnded: false,
		reason: 'refused',
	});
	targetClient.sends[1].listener.onHead(
		fakeResponseHead('q1', {status: 503, notExecuted: true}),
	);
	targetClient.sends[1].listener.onEnd();
	respond(2, 200, 'slot 7');
	assert.deepEqual([response.status, response.text], [200, 'slot 7']);
});

test('turns a 503 without the not-executed header into a 502, since the request may have run', () => {
	const {response, respond} = start(unsafe);
	respond(0, 503, 'busy');
	assert.equal(response.status, 502);
});

test('does not forward a response that belongs to another request', () => {
	const {targetClient, response} = start(unsafe);
	targetClient.sends[0].listener.onHead(fakeResponseHead('q0'));
	targetClient.sends[0].listener.onData(bytes('slot 3'));
	targetClient.sends[0].listener.onEnd();
	assert.equal(response.status, 502);
	assert.deepEqual(targetClient.closedAddresses, [
		targetClient.sends[0].address,
	]);
});

test('does not forward a response without the stamp of a target', () => {
	const {targetClient, response} = start(unsafe);
	targetClient.sends[0].listener.onHead(
		fakeResponseHead('q1', {isFromTarget: false}),
	);
	targetClient.sends[0].listener.onEnd();
	assert.equal(response.status, 502);
});

test('responds with 504 at the time limit and cancels the send', async () => {
	const {time, targetClient, response} = start(unsafe);
	await time.runUntil(999);
	assert.equal(response.ending, undefined);
	await time.runUntil(1001);
	assert.equal(response.status, 504);
	assert.equal(targetClient.sends[0].isDisposed, true);
});

test('passes on only the time left to a later send', async () => {
	const {time, targetClient} = start();
	await time.runUntil(400);
	const [first, second] = targetClient.sends;
	assert.equal(first.options.timeoutMs, 1000);
	assert.equal(second.options.timeoutMs, 750);
});

test('hedges an idempotent call at a second target when the first is slow', async () => {
	const {time, targetClient, response, respond} = start();
	await time.runUntil(300);
	respond(1, 200, 'stock 4');
	assert.equal(response.text, 'stock 4');
	assert.equal(targetClient.sends[0].isDisposed, true);
});

test('cancels an idempotent call when the caller disconnects, so that the target does no needless work', () => {
	const {targetClient, session, log} = start();
	session.callerDisconnected();
	assert.equal(targetClient.sends[0].isDisposed, true);
	assert.ok(log.includes('call ended caller left'));
});

test('does not cancel a non-idempotent call when the caller disconnects', () => {
	const {targetClient, session} = start(unsafe);
	session.callerDisconnected();
	assert.equal(targetClient.sends[0].isDisposed, false);
});

test('does not forward the body of a response with a wrong or missing request id', () => {
	for (const requestId of ['q0', undefined]) {
		const {targetClient, response} = start(unsafe);
		const {listener, address} = targetClient.sends[0];
		listener.onHead(fakeResponseHead('q1', {requestId}));
		listener.onData(bytes('not yours'));
		listener.onEnd();
		assert.deepEqual(
			[response.status, response.text.includes('yours')],
			[502, false],
		);
		assert.deepEqual(targetClient.closedAddresses, [address]);
	}
});

test('refuses a call at once as not run, with the time of the next turn, when the targets limit their request rate', () => {
	const {response, session} = start(unsafe, {}, (_query, listener) => {
		listener.onNone('the targets limit their request rate', 1250);
		return createDisposableStore();
	});
	assert.deepEqual(
		[response.status, response.retryAfterS, session.isDone],
		[503, 1.25, true],
	);
});

test('responds with the error of the first target when the hedge that awaits its turn gets none', async () => {
	const searches: CallTargetListener[] = [];
	const {time, targetClient, response, respond} = start(
		{},
		{},
		(_query, listener) => {
			searches.push(listener);
			return createDisposableStore();
		},
	);
	searches[0].onFound(fakeTargetEntry('t1'), undefined);
	await time.runUntil(300);
	assert.equal(searches.length, 2);
	respond(0, 500, 'broken');
	assert.deepEqual(
		[targetClient.sends.length, response.ending],
		[1, undefined],
	);
	searches[1].onNone('the targets limit their request rate', 400);
	assert.deepEqual([response.status, response.text], [500, 'broken']);
});

test('does not send a call that has ended while it awaited its turn', async () => {
	const searches: CallTargetListener[] = [];
	const {time, targetClient, response} = start({}, {}, (_query, listener) => {
		searches.push(listener);
		return createDisposableStore();
	});
	await time.runUntil(1001);
	assert.equal(response.status, 503);
	searches[0].onFound(fakeTargetEntry('t1'), undefined);
	assert.equal(targetClient.sends.length, 0);
});

test('sends a call to another target when a different one responds at the address', () => {
	const {targetClient, response, respond} = start(unsafe);
	targetClient.sends[0].listener.onHead(
		fakeResponseHead('q1', {status: 421, isFromTarget: false}),
	);
	targetClient.sends[0].listener.onEnd();
	respond(1, 200, 'slot 7');
	assert.deepEqual([response.status, response.text], [200, 'slot 7']);
});

test('does not take an encoded response for that of a target', () => {
	const {targetClient, response} = start(unsafe);
	targetClient.sends[0].listener.onHead(
		fakeResponseHead('q1', {hasContentEncoding: true}),
	);
	targetClient.sends[0].listener.onData(bytes('packed'));
	targetClient.sends[0].listener.onEnd();
	assert.equal(response.status, 502);
});

const leavingFailures = {
	'its connection failed': {
		unsent: true,
		connectionEnded: false,
		reason: 'connect timeout',
	},
	'it was held back': {
		unsent: true,
		withheld: true,
		connectionEnded: false,
		reason: 'not wanted',
	},
} as const;

for (const [name, failure] of Object.entries(leavingFailures)) {
	test(`a booking whose caller has left is not sent on after ${name} (review case 5)`, () => {
		const {targetClient, response, session, log} = start(unsafe);
		const [send] = targetClient.sends;
		assert.equal(send.options.mayStart(), true);
		session.callerDisconnected();
		assert.equal(send.options.mayStart(), false);
		send.listener.onFailure(failure);
		assert.equal(targetClient.sends.length, 1);
		assert.equal(session.isDone, true);
		assert.equal(response.ending, 'aborted');
		assert.match(log.at(-1) ?? '', /^call ended caller left/);
	});
}

test('a booking whose caller has left is not sent on after a target refused it (review case 5)', () => {
	const {targetClient, session} = start(unsafe);
	session.callerDisconnected();
	const [{listener}] = targetClient.sends;
	listener.onHead(fakeResponseHead('q1', {status: 503, notExecuted: true}));
	listener.onEnd();
	assert.equal(targetClient.sends.length, 1);
	assert.equal(session.isDone, true);
});

test('a booking that a target already has is not cancelled when its caller leaves', () => {
	const {targetClient, session, respond} = start(unsafe);
	session.callerDisconnected();
	assert.equal(targetClient.sends[0].isDisposed, false);
	respond(0, 200, 'slot 7');
	assert.equal(session.isDone, true);
});
