import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ClosedRefusal} from '../target-statements/index.js';
import {
	eventsText,
	testEngines,
	respondWithEvents,
	failSend,
	refuseSend,
	startTestStream,
} from '../../experiments/fakes/index.js';

const [firstEngine, secondEngine, thirdEngine] = testEngines;

test('does not start a stream again whose engine was lost without a copy', () => {
	const {targetClient, response} = startTestStream();
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 1);
	assert.deepEqual([response.status, response.retryAfterS], [502, undefined]);
});

test('aborts the response when a stream breaks, also in the middle of an event', () => {
	const {targetClient, response} = startTestStream();
	respondWithEvents(targetClient.sends[0], 1, 2);
	failSend(targetClient.sends[0]);
	assert.equal(response.ending, 'aborted');
	const inside = startTestStream();
	respondWithEvents(inside.targetClient.sends[0], 1);
	inside.targetClient.sends[0].listener.onData(
		new TextEncoder().encode('id: 2\nda'),
	);
	inside.targetClient.sends[0].listener.onEnd();
	assert.equal(inside.response.ending, 'aborted');
});

test('aborts the response after a gap, so that it does not mix the events of two runs', () => {
	const {targetClient, response} = startTestStream();
	respondWithEvents(targetClient.sends[0], 1, 2, 5);
	assert.deepEqual(
		[response.ending, response.text],
		['aborted', eventsText(1, 2)],
	);
});

test('does not give up a stream that no engine has started: tries the others, then responds with 503', () => {
	const {targetClient, response} = startTestStream();
	targetClient.sends[0].listener.onFailure({
		unsent: true,
		connectionEnded: false,
		reason: 'refused',
	});
	refuseSend(targetClient.sends[1]);
	assert.equal(targetClient.sends.length, 3);
	refuseSend(targetClient.sends[2]);
	assert.equal(response.status, 503);
	assert.ok(response.retryAfterS);
});

test('continues a stalled run at its backup', async () => {
	const {time, targetClient, session} = startTestStream({backup: secondEngine});
	respondWithEvents(targetClient.sends[0], 1);
	await time.runUntil(800);
	session.tick();
	assert.equal(targetClient.sends.length, 1);
	await time.runUntil(1000);
	session.tick();
	assert.equal(targetClient.sends[0].isDisposed, true);
	assert.equal(targetClient.sends[1].address, secondEngine.address);
});

test('cancels the send when the caller disconnects, so that the engine does no needless work', () => {
	const {targetClient, session} = startTestStream();
	session.callerDisconnected();
	assert.equal(targetClient.sends[0].isDisposed, true);
	assert.equal(session.isDone, true);
});

test('does not lose the retry time that the scheduler computes on the way to the caller', () => {
	const {targetClient, response} = startTestStream();
	for (const send of [0, 1, 2]) {
		refuseSend(targetClient.sends[send]);
	}

	assert.deepEqual([response.status, response.retryAfterS], [503, 0.7]);
});

test('a generation that is late anyway does not delay those that can be on time', () => {
	const late = startTestStream({isLate: true});
	const timely = startTestStream();
	const [first] = late.targetClient.sends;
	const [second] = timely.targetClient.sends;
	assert.ok((first.options.priority ?? 0) > 5);
	assert.ok((second.options.priority ?? 9) < 5);
});

test('logs the sends and the failure that explain why a run was lost', () => {
	const {targetClient, log} = startTestStream();
	respondWithEvents(targetClient.sends[0], 1, 2);
	failSend(targetClient.sends[0]);
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
	const {time, targetClient, session} = startTestStream({backup: secondEngine});
	respondWithEvents(targetClient.sends[0], 1);
	for (const id of [2, 3, 4]) {
		const beforeMs = time.nowMs();
		await time.runUntil(beforeMs + 850);
		session.tick();
		respondWithEvents(targetClient.sends[0], id);
	}

	await time.runUntil(time.nowMs() + 1600);
	session.tick();
	assert.equal(targetClient.sends.length, 1);
	await time.runUntil(time.nowMs() + 200);
	session.tick();
	assert.equal(targetClient.sends.length, 2);
});

test('detects a stalled run whose engine still sends comments', async () => {
	const {time, targetClient, session, response} = startTestStream({
		backup: secondEngine,
	});
	respondWithEvents(targetClient.sends[0], 1);
	for (let count = 0; count < 4; count++) {
		await time.runUntil(time.nowMs() + 300);
		targetClient.sends[0].listener.onData(
			new TextEncoder().encode(': wait\n\n'),
		);
		session.tick();
	}

	assert.equal(targetClient.sends.length, 2);
	const alone = startTestStream();
	respondWithEvents(alone.targetClient.sends[0], 1);
	for (let atMs = 1000; atMs <= 40_000; atMs += 1000) {
		await alone.time.runUntil(atMs);
		alone.targetClient.sends[0].listener.onData(new TextEncoder().encode(':'));
		alone.session.tick();
	}

	assert.equal(alone.response.ending, 'aborted');
	assert.equal(response.ending, undefined);
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
	const {targetClient, response} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	assert.equal(response.ending, undefined);
	pool.requests[0](true);
	assert.equal(targetClient.sends[1].address, secondEngine.address);

	const denied = startTestStream({backup: secondEngine, askPool: pool.request});
	respondWithEvents(denied.targetClient.sends[0], 1);
	failSend(denied.targetClient.sends[0]);
	pool.requests.at(-1)?.(false);
	assert.equal(denied.response.ending, 'aborted');
	assert.equal(denied.targetClient.sends.length, 1);
});

test('keeps a stalled run while a retry is not granted', async () => {
	const pool = createScriptedPool();
	const {time, targetClient, session, response} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(targetClient.sends[0], 1);
	await time.runUntil(1000);
	session.tick();
	session.tick();
	await time.runUntil(1010);
	assert.equal(pool.requests.length, 1);
	pool.requests[0](false);
	session.tick();
	await time.runUntil(1020);
	assert.deepEqual([response.ending, pool.requests.length], [undefined, 1]);
	await time.runUntil(2100);
	session.tick();
	await time.runUntil(2110);
	pool.requests[1](true);
	await time.runUntil(2120);
	assert.equal(targetClient.sends[0].isDisposed, true);
	assert.equal(targetClient.sends[1].address, secondEngine.address);
});

test('withdraws the pending retry request when the caller disconnects', () => {
	const pool = createScriptedPool();
	const {targetClient, session} = startTestStream({
		backup: secondEngine,
		askPool: pool.request,
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	session.callerDisconnected();
	assert.equal(pool.requests.length, 0);
	assert.equal(targetClient.sends.length, 1);
});

test('prevents a stop that cuts generations without an answer, or that sends 503 for one that may have run', () => {
	const waiting = startTestStream({areEnginesFull: true});
	assert.equal(waiting.session.mayHaveRun, false);
	waiting.session.giveUp('the VM is stopping', 50);
	assert.deepEqual(
		[waiting.response.status, waiting.response.retryAfterS],
		[503, 0.05],
	);
	const sent = startTestStream();
	assert.equal(sent.session.mayHaveRun, true);
	sent.session.giveUp('the VM stopped', 50);
	assert.deepEqual(
		[sent.response.status, sent.response.retryAfterS],
		[502, undefined],
	);
	assert.equal(sent.targetClient.sends[0].isDisposed, true);
	const begun = startTestStream();
	respondWithEvents(begun.targetClient.sends[0], 1);
	begun.session.giveUp('the VM stopped', 50);
	assert.equal(begun.response.ending, 'aborted');
	assert.equal(begun.log.at(-1)?.record.outcome, 'the VM stopped');
});

test('a lost run waits for its turn at the engine of its copy when that limits its request rate', async () => {
	const {time, targetClient, response} = startTestStream({
		backup: secondEngine,
		decideTurn: (targetId, {isUrgent}) => ({
			outcome: 'granted',
			targetId,
			waitMs: isUrgent ? 300 : 0,
		}),
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	await time.runUntil(299);
	assert.equal(targetClient.sends.length, 1);
	await time.runUntil(301);
	assert.equal(targetClient.sends[1].address, secondEngine.address);
	assert.equal(response.ending, undefined);
});

test('a lost run without a turn at the engine of its copy is not sent there', () => {
	const {targetClient, response, log} = startTestStream({
		backup: secondEngine,
		decideTurn: () => ({outcome: 'denied', waitMs: 4000, retryAfterMs: 4000}),
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(response.ending, 'aborted');
	const denial = log.find(({event}) => event === 'continuation denied');
	assert.deepEqual(
		[denial?.record.target, denial?.record.reason],
		[secondEngine.id, 'rate limit'],
	);
});

test('a caller that leaves while a lost run waits for its turn costs no further send', async () => {
	const {time, targetClient, session} = startTestStream({
		backup: secondEngine,
		decideTurn: (targetId) => ({outcome: 'granted', targetId, waitMs: 300}),
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	session.callerDisconnected();
	await time.runUntil(1000);
	assert.equal(targetClient.sends.length, 1);
});

test('a lost run is reported with the status of its broken response and the events that the caller has', () => {
	const {targetClient, lostRuns, log} = startTestStream();
	respondWithEvents(targetClient.sends[0]);
	failSend(targetClient.sends[0]);
	const [{status, eventCount, connectionEnded, target}] = lostRuns;
	assert.deepEqual(
		{status, eventCount, connectionEnded, target: target.id},
		{status: 200, eventCount: 0, connectionEnded: true, target: 'e1'},
	);
	const failed = log.find(({event}) => event === 'stream attempt failed');
	assert.equal(failed?.record.status, 200);
	const waiting = startTestStream();
	failSend(waiting.targetClient.sends[0]);
	assert.equal(waiting.lostRuns[0].status, undefined);
});

test('a run that was lost at two engines before its first event does not go on at a third', async () => {
	const {time, targetClient, response, session, acceptCopies, markLeaving} =
		startTestStream();
	acceptCopies('m1');
	markLeaving(firstEngine.id);
	await time.runUntil(50);
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends[1].address, thirdEngine.address);
	markLeaving(thirdEngine.id);
	await time.runUntil(100);
	session.tick();
	assert.equal(targetClient.copies.length, 2);
	failSend(targetClient.sends[1]);
	await time.runUntil(200);
	assert.equal(targetClient.sends.length, 2);
	assert.equal(response.status, 502);
});

const closedFor = (waitMs: number) =>
	new Map([
		[secondEngine.id, {use: 'none', cause: 'back-off', waitMs} as const],
	]);

test('a lost run does not go on at an engine that wants no requests for a time', async () => {
	const {time, targetClient, response} = startTestStream({
		backup: secondEngine,
		standings: closedFor(3000),
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	await time.runUntil(2000);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(response.ending, 'aborted');
});

test('a lost run waits for the end of a short back-off at the engine of its copy', async () => {
	const standings = new Map<string, {use: 'none'; waitMs: number}>([
		[secondEngine.id, {use: 'none', waitMs: 400}],
	]);
	const {time, targetClient} = startTestStream({
		backup: secondEngine,
		standings,
	});
	respondWithEvents(targetClient.sends[0], 1);
	failSend(targetClient.sends[0]);
	await time.runUntil(350);
	assert.equal(targetClient.sends.length, 1);
	standings.clear();
	await time.runUntil(450);
	assert.equal(targetClient.sends.length, 2);
});

test('a stream that an engine turns away is refused at once when no other engine takes requests', () => {
	const state: {closed?: ClosedRefusal} = {};
	const {targetClient, response} = startTestStream({
		closedRefusal: () => state.closed,
	});
	state.closed = {reason: 'closed', retryAfterMs: 2500};
	refuseSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 1);
	assert.deepEqual([response.status, response.retryAfterS], [503, 2.5]);
});

test('a stream that is given up while its engine is found unreachable is not sent to another one', () => {
	const given: {up?: () => void} = {};
	const {targetClient, response, session} = startTestStream({
		onUnreachable: () => given.up?.(),
	});
	given.up = () => {
		session.giveUp('engines end under parts of this prompt', 500);
	};

	targetClient.sends[0].listener.onFailure({
		unsent: true,
		connectionEnded: false,
		reason: 'refused',
	});
	assert.equal(response.status, 503);
	assert.equal(targetClient.sends.length, 1);
});

test('reads a stream only as fast as its caller takes it, and does not take the pause for a stall', async () => {
	const {time, targetClient, session, response} = startTestStream({
		backup: secondEngine,
	});
	respondWithEvents(targetClient.sends[0], 1);
	assert.equal(targetClient.sends[0].isPaused, false);
	response.setCongested(true);
	respondWithEvents(targetClient.sends[0], 2);
	assert.equal(targetClient.sends[0].isPaused, true);
	for (let atMs = 1000; atMs <= 8000; atMs += 250) {
		await time.runUntil(atMs);
		session.tick();
	}

	response.setCongested(false);
	assert.equal(targetClient.sends[0].isPaused, false);
	session.tick();
	respondWithEvents(targetClient.sends[0], 3);
	targetClient.sends[0].listener.onEnd();
	assert.equal(targetClient.sends.length, 1);
	assert.deepEqual(
		[response.ending, response.text],
		['whole', eventsText(1, 2, 3)],
	);
});

test('events that arrive together are written in one piece', () => {
	const {targetClient, response} = startTestStream();
	respondWithEvents(targetClient.sends[0], 1);
	targetClient.sends[0].listener.onData(
		new TextEncoder().encode(eventsText(2, 3, 4)),
	);
	assert.deepEqual(
		[response.writeCount, response.text],
		[2, eventsText(1, 2, 3, 4)],
	);
});

test('a run does not go on at another engine while engines end under its prompt, also in the middle of its stream (review case 2)', () => {
	const held: {reason: string | undefined} = {reason: undefined};
	const {targetClient, response, log} = startTestStream({
		backup: secondEngine,
		heldReason: () => held.reason,
	});
	respondWithEvents(targetClient.sends[0], 1, 2);
	held.reason = 'engines end under parts of this prompt';
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(response.ending, 'aborted');
	assert.ok(
		log.some(
			({event, record}) =>
				event === 'continuation denied' && record.reason === held.reason,
		),
	);
});

test('a stalled run is not left while it could not go on elsewhere', async () => {
	const {time, targetClient, session} = startTestStream({
		backup: secondEngine,
		heldReason: () => 'engines end under parts of this prompt',
	});
	respondWithEvents(targetClient.sends[0], 1);
	await time.runUntil(5000);
	session.tick();
	assert.equal(targetClient.sends[0].isDisposed, false);
});

test('a run that ended two engines after a few events does not go on at a third (review case 2)', async () => {
	const {time, targetClient, response, session, acceptCopies, markUnreachable} =
		startTestStream({backup: secondEngine});
	acceptCopies('m1');
	respondWithEvents(targetClient.sends[0], 1, 2);
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 2);
	markUnreachable(secondEngine.id);
	await time.runUntil(100);
	session.tick();
	respondWithEvents(targetClient.sends[1], 3);
	failSend(targetClient.sends[1]);
	await time.runUntil(200);
	assert.equal(targetClient.sends.length, 2);
	assert.equal(response.ending, 'aborted');
});
