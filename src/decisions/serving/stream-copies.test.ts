import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventsText,
	testEngines,
	respondWithEvents,
	respondAndEnd,
	failSend,
	refuseSend,
	startTestStream,
} from '../../experiments/fakes/index.js';

const [firstEngine, secondEngine, thirdEngine] = testEngines;

test('a run that continues from its backup neither skips nor repeats events', () => {
	const {link, reply} = startTestStream({backup: secondEngine});
	respondWithEvents(link.sends[0], 1, 2, 3);
	failSend(link.sends[0]);
	const [, second] = link.sends;
	assert.equal(second.address, secondEngine.address);
	assert.deepEqual(second.options.continueFrom, {
		address: secondEngine.address,
		handle: 'q1',
	});
	assert.equal(second.options.lastEventId, '3');
	respondAndEnd(second, 3, 4);
	assert.deepEqual(
		[reply.ending, reply.text],
		['whole', eventsText(1, 2, 3, 4)],
	);
});

test("when an engine leaves at two seconds' notice, the run continues from the copy made during the notice", async () => {
	const {time, link, reply, leave, copyAs, copiedTo} = startTestStream();
	copyAs('h1');
	respondWithEvents(link.sends[0], 1);
	leave('e1');
	await time.runUntil(700);
	assert.equal(link.sends[0].isDisposed, false);
	assert.deepEqual(copiedTo(), [thirdEngine.address, thirdEngine.address]);
	failSend(link.sends[0], 'gone');
	assert.equal(link.sends[1].address, thirdEngine.address);
	assert.equal(link.sends[1].options.continueFrom?.handle, 'h1');
	respondAndEnd(link.sends[1], 2);
	assert.equal(reply.text, eventsText(1, 2));
});

test('when the engine and the backup leave at once, the run is copied to a third engine', async () => {
	const {time, link, leave, copyAs} = startTestStream({backup: secondEngine});
	copyAs('h1');
	respondWithEvents(link.sends[0], 1);
	leave('e1');
	await time.runUntil(10);
	assert.equal(link.copies.length, 0);
	leave('e2');
	await time.runUntil(20);
	assert.equal(link.copies[0]?.toAddress, thirdEngine.address);
});

test('another copy is made when the backup is lost while the store is unavailable (altiplano, inc-acd6)', async () => {
	const calm = startTestStream({backup: secondEngine});
	respondWithEvents(calm.link.sends[0], 1);
	calm.leave('e2');
	await calm.time.runUntil(1000);
	assert.equal(calm.copiedTo().length, 0);

	const {time, link, reply, leave, copyAs, copiedTo} = startTestStream({
		backup: secondEngine,
		areDeparturesReported: false,
	});
	copyAs('h1');
	respondWithEvents(link.sends[0], 1);
	leave('e2');
	await time.runUntil(2000);
	assert.deepEqual(copiedTo(), [thirdEngine.address]);
	failSend(link.sends[0], 'crashed');
	assert.equal(link.sends[1].address, thirdEngine.address);
	respondAndEnd(link.sends[1], 2);
	assert.equal(reply.text, eventsText(1, 2));
});

test('does not copy a run whose engine is present but refuses a connection because it is full', async () => {
	const {time, link, refuse} = startTestStream({areDeparturesReported: false});
	respondWithEvents(link.sends[0], 1);
	refuse('e1');
	await time.runUntil(1000);
	assert.equal(link.copies.length, 0);
});

test('does not give up a run because one of its two copies is lost', async () => {
	const {time, link, reply, leave, copyAs} = startTestStream({
		backup: secondEngine,
		areDeparturesReported: false,
	});
	copyAs('h1');
	respondWithEvents(link.sends[0], 1);
	leave('e2');
	await time.runUntil(10);
	failSend(link.sends[0], 'crashed');
	refuseSend(link.sends[1]);
	assert.equal(link.sends[2].address, secondEngine.address);
	link.sends[2].listener.onFailure({unsent: true, reason: 'refused'});
	assert.equal(reply.ending, 'aborted');
});

test('retries a copy of a run that has not started, and at another engine after a refusal', async () => {
	const {time, link, leave, copiedTo} = startTestStream();
	let calls = 0;
	link.copyResult = (toAddress) => {
		calls++;
		if (calls === 1) {
			return {outcome: 'unknown-run'};
		}

		return toAddress === thirdEngine.address
			? {outcome: 'refused'}
			: {
					outcome: 'copied',
					copy: {address: firstEngine.address, handle: 'h2'},
				};
	};

	leave('e1');
	await time.runUntil(400);
	assert.deepEqual(copiedTo(), [
		thirdEngine.address,
		thirdEngine.address,
		secondEngine.address,
	]);
});

test('releases the copies when the run has finished', async () => {
	const {time, link, leave, copyAs} = startTestStream();
	copyAs('h1');
	respondWithEvents(link.sends[0], 1);
	leave('e1');
	await time.runUntil(10);
	link.sends[0].listener.onEnd();
	assert.deepEqual(link.releasedHandles, ['h1']);
});

test('uses the previous copy if the engine exits during the update of a copy (andamio, scale-1)', async () => {
	const {time, link, reply, leave} = startTestStream();
	let calls = 0;
	link.copyResult = () => {
		calls++;
		return calls === 1
			? {
					outcome: 'copied',
					copy: {address: firstEngine.address, handle: 'h1'},
				}
			: {outcome: 'failed', reason: 'other side closed'};
	};

	respondWithEvents(link.sends[0], 1);
	leave('e1');
	await time.runUntil(600);
	assert.equal(calls, 3);
	failSend(link.sends[0], 'gone');
	assert.equal(link.sends[1].address, thirdEngine.address);
	assert.equal(link.sends[1].options.continueFrom?.handle, 'h1');
	respondAndEnd(link.sends[1], 2);
	assert.equal(reply.text, eventsText(1, 2));
});
