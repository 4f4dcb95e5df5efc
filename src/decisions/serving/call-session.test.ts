import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CallerRequest, RouteRule} from '../../common/index.js';
import {
	createFakeCallerResponse,
	fakeAdmittedRequest,
	fakeTargetEntry,
	fakeResponseHead,
	fakeSessionServices,
	FakeTargetClient,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {startCallSession} from './call-session.js';

const bytes = (text: string) => new TextEncoder().encode(text);

function start(
	route: Partial<RouteRule> = {},
	request: Partial<CallerRequest> = {},
) {
	const time = new VirtualTime();
	const link = new FakeTargetClient();
	const reply = createFakeCallerResponse();
	const log: string[] = [];
	const targets = [
		fakeTargetEntry('t1'),
		fakeTargetEntry('t2'),
		fakeTargetEntry('t3'),
	];
	const session = startCallSession(fakeAdmittedRequest(route, request), reply, {
		...fakeSessionServices(time, link, (event, record) => {
			log.push(`${event} ${String(record.outcome ?? record.reason ?? '')}`);
		}),
		chooseTarget: (_service, avoid) => targets.find(({id}) => !avoid.has(id)),
		trackCall: () => ({
			dispose() {
				// Load is not counted here.
			},
		}),
	});
	const answer = (index: number, status: number, text: string) => {
		const {listener} = link.sends[index];
		listener.onHead(fakeResponseHead('q1', {status}));
		listener.onData(bytes(text));
		listener.onEnd();
	};

	return {time, link, reply, log, session, answer};
}

const unsafe: Partial<RouteRule> = {kind: 'non-idempotent', maxAttempts: 1};

test('guards against passing on the failure of one target where another can answer', () => {
	const {link, reply, answer} = start();
	answer(0, 500, 'no');
	assert.equal(link.sends.length, 2);
	assert.notEqual(link.sends[0].address, link.sends[1].address);
	answer(1, 200, 'stock 4');
	assert.deepEqual([reply.status, reply.text], [200, 'stock 4']);
});

test('guards against more sends than the route allows', () => {
	const {link, reply, answer} = start();
	answer(0, 500, 'first');
	answer(1, 500, 'second');
	assert.equal(link.sends.length, 2);
	assert.deepEqual([reply.status, reply.text], [500, 'second']);
});

test('guards against repeating a booking whose answer was lost', () => {
	const {link, reply} = start(unsafe);
	link.sends[0].listener.onFailure({unsent: false, reason: 'reset'});
	assert.equal(link.sends.length, 1);
	assert.deepEqual([reply.status, reply.ending], [502, 'own']);
	assert.equal(reply.retryAfterS, undefined);
});

test('guards against losing a booking that no target has seen', () => {
	const {link, reply, answer} = start(unsafe);
	link.sends[0].listener.onFailure({unsent: true, reason: 'refused'});
	link.sends[1].listener.onHead(
		fakeResponseHead('q1', {status: 503, notExecuted: true}),
	);
	link.sends[1].listener.onEnd();
	answer(2, 200, 'slot 7');
	assert.deepEqual([reply.status, reply.text], [200, 'slot 7']);
});

test('guards against a promise of "not run" that a target did not give', () => {
	const {reply, answer} = start(unsafe);
	answer(0, 503, 'busy');
	assert.equal(reply.status, 502);
});

test('guards against handing one caller the answer of another', () => {
	const {link, reply} = start(unsafe);
	link.sends[0].listener.onHead(fakeResponseHead('q0'));
	link.sends[0].listener.onData(bytes('slot 3'));
	link.sends[0].listener.onEnd();
	assert.equal(reply.status, 502);
	assert.deepEqual(link.closedAddresses, [link.sends[0].address]);
});

test('guards against answers that no target made', () => {
	const {link, reply} = start(unsafe);
	link.sends[0].listener.onHead(fakeResponseHead('q1', {isFromTarget: false}));
	link.sends[0].listener.onEnd();
	assert.equal(reply.status, 502);
});

test('guards against holding a request past its time limit', async () => {
	const {time, link, reply} = start(unsafe);
	await time.runUntil(999);
	assert.equal(reply.ending, undefined);
	await time.runUntil(1001);
	assert.equal(reply.status, 504);
	assert.equal(link.sends[0].isDisposed, true);
});

test('guards against time limits that do not shrink on the way', async () => {
	const {time, link} = start();
	await time.runUntil(400);
	const [first, second] = link.sends;
	assert.equal(first.options.timeoutMs, 1000);
	assert.equal(second.options.timeoutMs, 750);
});

test('replay "one target is ten times slower": an idempotent call goes to a second one', async () => {
	const {time, link, reply, answer} = start();
	await time.runUntil(300);
	answer(1, 200, 'stock 4');
	assert.equal(reply.text, 'stock 4');
	assert.equal(link.sends[0].isDisposed, true);
});

test('guards against work for a caller that has left', () => {
	const {link, session, log} = start();
	session.callerDisconnected();
	assert.equal(link.sends[0].isDisposed, true);
	assert.ok(log.includes('call ended caller left'));
});

test('guards against cutting off a booking because its caller left', () => {
	const {link, session} = start(unsafe);
	session.callerDisconnected();
	assert.equal(link.sends[0].isDisposed, false);
});

test('guards against the answer of another request, or of none, reaching the caller', () => {
	for (const requestId of ['q0', undefined]) {
		const {link, reply} = start(unsafe);
		const {listener, address} = link.sends[0];
		listener.onHead(fakeResponseHead('q1', {requestId}));
		listener.onData(bytes('not yours'));
		listener.onEnd();
		assert.deepEqual(
			[reply.status, reply.text.includes('yours')],
			[502, false],
		);
		assert.deepEqual(link.closedAddresses, [address]);
	}
});
