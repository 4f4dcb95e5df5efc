import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventsText,
	testEngines,
	respondWithEvents,
	failSend,
	refuseSend,
	startTestStream,
} from '../../experiments/fakes/index.js';

const [, secondEngine] = testEngines;

test('does not start a stream again whose engine was lost without a copy', () => {
	const {link, reply} = startTestStream();
	failSend(link.sends[0]);
	assert.equal(link.sends.length, 1);
	assert.deepEqual([reply.status, reply.retryAfterS], [502, undefined]);
});

test('aborts the response when a stream breaks, also in the middle of an event', () => {
	const {link, reply} = startTestStream();
	respondWithEvents(link.sends[0], 1, 2);
	failSend(link.sends[0]);
	assert.equal(reply.ending, 'aborted');
	const inside = startTestStream();
	respondWithEvents(inside.link.sends[0], 1);
	inside.link.sends[0].listener.onData(new TextEncoder().encode('id: 2\nda'));
	inside.link.sends[0].listener.onEnd();
	assert.equal(inside.reply.ending, 'aborted');
});

test('aborts the response after a gap, so that it does not mix the events of two runs', () => {
	const {link, reply} = startTestStream();
	respondWithEvents(link.sends[0], 1, 2, 5);
	assert.deepEqual([reply.ending, reply.text], ['aborted', eventsText(1, 2)]);
});

test('does not give up a stream that no engine has started: tries the others, then responds with 503', () => {
	const {link, reply} = startTestStream();
	link.sends[0].listener.onFailure({unsent: true, reason: 'refused'});
	refuseSend(link.sends[1]);
	assert.equal(link.sends.length, 3);
	refuseSend(link.sends[2]);
	assert.equal(reply.status, 503);
	assert.ok(reply.retryAfterS);
});

test('continues a stalled run at its backup', async () => {
	const {time, link, session} = startTestStream({backup: secondEngine});
	respondWithEvents(link.sends[0], 1);
	await time.runUntil(800);
	session.tick();
	assert.equal(link.sends.length, 1);
	await time.runUntil(1000);
	session.tick();
	assert.equal(link.sends[0].isDisposed, true);
	assert.equal(link.sends[1].address, secondEngine.address);
});

test('cancels the send when the caller disconnects, so that the engine does no needless work', () => {
	const {link, session} = startTestStream();
	session.callerDisconnected();
	assert.equal(link.sends[0].isDisposed, true);
	assert.equal(session.isDone, true);
});

test('does not lose the retry time that the scheduler computes on the way to the caller', () => {
	const {link, reply} = startTestStream();
	for (const send of [0, 1, 2]) {
		refuseSend(link.sends[send]);
	}

	assert.deepEqual([reply.status, reply.retryAfterS], [503, 0.7]);
});

test('a generation that is late anyway does not delay those that can be on time', () => {
	const late = startTestStream({isLate: true});
	const timely = startTestStream();
	const [first] = late.link.sends;
	const [second] = timely.link.sends;
	assert.ok((first.options.priority ?? 0) > 5);
	assert.ok((second.options.priority ?? 9) < 5);
});

test('logs the sends and the failure that explain why a run was lost', () => {
	const {link, log} = startTestStream();
	respondWithEvents(link.sends[0], 1, 2);
	failSend(link.sends[0]);
	const sent = log.find(({event}) => event === 'stream sent')?.record;
	const failed = log.find(({event}) => event === 'stream attempt failed');
	const ended = log.at(-1)?.record;
	assert.deepEqual(
		[sent?.request, sent?.target, sent?.reason, sent?.expectedMemoryPart],
		['q1', 'e1', 'first send', 0.5],
	);
	assert.deepEqual(
		[failed?.record.target, failed?.record.reason, failed?.record.events],
		['e1', 'reset', 2],
	);
	assert.deepEqual(
		[ended?.request, ended?.outcome, ended?.events, ended?.moves],
		['q1', 'the run was lost', 2, 0],
	);
});

test('does not continue a slow run elsewhere that resumes after each pause', async () => {
	const {time, link, session} = startTestStream({backup: secondEngine});
	respondWithEvents(link.sends[0], 1);
	for (const id of [2, 3, 4]) {
		const beforeMs = time.nowMs();
		await time.runUntil(beforeMs + 850);
		session.tick();
		respondWithEvents(link.sends[0], id);
	}

	await time.runUntil(time.nowMs() + 1600);
	session.tick();
	assert.equal(link.sends.length, 1);
	await time.runUntil(time.nowMs() + 200);
	session.tick();
	assert.equal(link.sends.length, 2);
});

test('detects a stalled run whose engine still sends comments', async () => {
	const {time, link, session, reply} = startTestStream({backup: secondEngine});
	respondWithEvents(link.sends[0], 1);
	for (let count = 0; count < 4; count++) {
		await time.runUntil(time.nowMs() + 300);
		link.sends[0].listener.onData(new TextEncoder().encode(': wait\n\n'));
		session.tick();
	}

	assert.equal(link.sends.length, 2);
	const alone = startTestStream();
	respondWithEvents(alone.link.sends[0], 1);
	for (let atMs = 1000; atMs <= 40_000; atMs += 1000) {
		await alone.time.runUntil(atMs);
		alone.link.sends[0].listener.onData(new TextEncoder().encode(':'));
		alone.session.tick();
	}

	assert.equal(alone.reply.ending, 'aborted');
	assert.equal(reply.ending, undefined);
});

/** Creates a retry pool whose decisions a test makes. */
function createScriptedPool() {
	const requests: Array<(isGranted: boolean) => void> = [];
	return {
		requests,
		request(_service: string, onDecision: (isGranted: boolean) => void) {
			requests.push(onDecision);
			return {
				dispose() {
					requests.splice(requests.indexOf(onDecision), 1);
				},
			};
		},
	};
}

test('continues a run by a retry from the pool when the share of the VM is used up', () => {
	const pool = createScriptedPool();
	const {link, reply} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(link.sends[0], 1);
	failSend(link.sends[0]);
	assert.equal(reply.ending, undefined);
	pool.requests[0](true);
	assert.equal(link.sends[1].address, secondEngine.address);

	const denied = startTestStream({backup: secondEngine, askPool: pool.request});
	respondWithEvents(denied.link.sends[0], 1);
	failSend(denied.link.sends[0]);
	pool.requests.at(-1)?.(false);
	assert.equal(denied.reply.ending, 'aborted');
	assert.equal(denied.link.sends.length, 1);
});

test('keeps a stalled run while a retry is not granted', async () => {
	const pool = createScriptedPool();
	const {time, link, session, reply} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(link.sends[0], 1);
	await time.runUntil(1000);
	session.tick();
	session.tick();
	assert.equal(pool.requests.length, 1);
	pool.requests[0](false);
	session.tick();
	assert.deepEqual([reply.ending, pool.requests.length], [undefined, 1]);
	await time.runUntil(2100);
	session.tick();
	pool.requests[1](true);
	assert.equal(link.sends[0].isDisposed, true);
	assert.equal(link.sends[1].address, secondEngine.address);
});

test('withdraws the pending retry request when the caller disconnects', () => {
	const pool = createScriptedPool();
	const {link, session} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(link.sends[0], 1);
	failSend(link.sends[0]);
	session.callerDisconnected();
	assert.equal(pool.requests.length, 0);
	assert.equal(link.sends.length, 1);
});

test('prevents a stop that cuts generations without an answer, or that sends 503 for one that may have run', () => {
	const waiting = startTestStream({areEnginesFull: true});
	assert.equal(waiting.session.mayHaveRun, false);
	waiting.session.giveUp('the VM is stopping', 50);
	assert.deepEqual(
		[waiting.reply.status, waiting.reply.retryAfterS],
		[503, 0.05],
	);
	const sent = startTestStream();
	assert.equal(sent.session.mayHaveRun, true);
	sent.session.giveUp('the VM stopped', 50);
	assert.deepEqual(
		[sent.reply.status, sent.reply.retryAfterS],
		[502, undefined],
	);
	assert.equal(sent.link.sends[0].isDisposed, true);
	const begun = startTestStream();
	respondWithEvents(begun.link.sends[0], 1);
	begun.session.giveUp('the VM stopped', 50);
	assert.equal(begun.reply.ending, 'aborted');
	assert.equal(begun.log.at(-1)?.record.outcome, 'the VM stopped');
});
