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
	const {targetClient, response} = startTestStream({backup: secondEngine});
	respondWithEvents(targetClient.sends[0], 1, 2, 3);
	failSend(targetClient.sends[0]);
	const [, second] = targetClient.sends;
	assert.equal(second.address, secondEngine.address);
	assert.deepEqual(second.options.continueFrom, {
		address: secondEngine.address,
		handle: 'q1',
	});
	assert.equal(second.options.lastEventId, '3');
	respondAndEnd(second, 3, 4);
	assert.deepEqual(
		[response.ending, response.text],
		['whole', eventsText(1, 2, 3, 4)],
	);
});

// Guards against a request that runs twice: an engine without the copy may run it before it fails.
test('a run that is lost before its first event does not go on from a backup (kiilto, inc1)', () => {
	const {targetClient, response, lostRuns} = startTestStream({
		backup: secondEngine,
	});
	failSend(targetClient.sends[0]);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(response.status, 502);
	assert.equal(lostRuns[0].copy, 'none');
});

test('a backup counts once the run has made progress for as long as engines take to start it (kiilto, inc1)', async () => {
	for (const [progressMs, copy] of [
		[950, 'none'],
		[1000, 'possible'],
	] as const) {
		const {time, targetClient, lostRuns} = startTestStream({
			backup: secondEngine,
		});
		targetClient.backupDelayMs = 1000;
		const [first] = targetClient.sends;
		await time.runUntil(300);
		respondWithEvents(first, 1);
		await time.runUntil(300 + progressMs);
		respondWithEvents(first, 2);
		// Time without progress does not count: the engine may have ended before.
		await time.runUntil(2000);
		failSend(first);
		assert.equal(lostRuns[0].copy, copy);
		assert.equal(targetClient.sends.length, copy === 'possible' ? 2 : 1);
	}
});

test("when an engine leaves at two seconds' notice, the run continues from the copy made during the notice", async () => {
	const {
		time,
		targetClient,
		response,
		markLeaving,
		acceptCopies,
		copyAddresses,
	} = startTestStream();
	acceptCopies('h1');
	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e1');
	await time.runUntil(700);
	assert.equal(targetClient.sends[0].isDisposed, false);
	assert.deepEqual(copyAddresses(), [thirdEngine.address, thirdEngine.address]);
	failSend(targetClient.sends[0], 'gone');
	assert.equal(targetClient.sends[1].address, thirdEngine.address);
	assert.equal(targetClient.sends[1].options.continueFrom?.handle, 'h1');
	respondAndEnd(targetClient.sends[1], 2);
	assert.equal(response.text, eventsText(1, 2));
});

test('when the engine and the backup leave at once, the run is copied to a third engine', async () => {
	const {time, targetClient, markLeaving, acceptCopies} = startTestStream({
		backup: secondEngine,
	});
	acceptCopies('h1');
	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e1');
	await time.runUntil(10);
	assert.equal(targetClient.copies.length, 0);
	markLeaving('e2');
	await time.runUntil(20);
	assert.equal(targetClient.copies[0]?.toAddress, thirdEngine.address);
});

test('another copy is made when the backup is lost while the store is unavailable (altiplano, inc-acd6)', async () => {
	const calm = startTestStream({backup: secondEngine});
	respondWithEvents(calm.targetClient.sends[0], 1);
	calm.markLeaving('e2');
	await calm.time.runUntil(1000);
	assert.equal(calm.copyAddresses().length, 0);

	const {
		time,
		targetClient,
		response,
		markLeaving,
		acceptCopies,
		copyAddresses,
	} = startTestStream({
		backup: secondEngine,
		areDeparturesReported: false,
	});
	acceptCopies('h1');
	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e2');
	await time.runUntil(2000);
	assert.deepEqual(copyAddresses(), [thirdEngine.address]);
	failSend(targetClient.sends[0], 'crashed');
	assert.equal(targetClient.sends[1].address, thirdEngine.address);
	respondAndEnd(targetClient.sends[1], 2);
	assert.equal(response.text, eventsText(1, 2));
});

test('does not copy a run whose engine is present but refuses a connection because it is full', async () => {
	const {time, targetClient, markUnreachable} = startTestStream({
		areDeparturesReported: false,
	});
	respondWithEvents(targetClient.sends[0], 1);
	markUnreachable('e1');
	await time.runUntil(1000);
	assert.equal(targetClient.copies.length, 0);
});

test('does not give up a run because one of its two copies is lost', async () => {
	const {time, targetClient, response, markLeaving, acceptCopies} =
		startTestStream({
			backup: secondEngine,
			areDeparturesReported: false,
		});
	acceptCopies('h1');
	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e2');
	await time.runUntil(10);
	failSend(targetClient.sends[0], 'crashed');
	refuseSend(targetClient.sends[1]);
	assert.equal(targetClient.sends[2].address, secondEngine.address);
	targetClient.sends[2].listener.onFailure({
		unsent: true,
		connectionEnded: false,
		reason: 'refused',
	});
	assert.equal(response.ending, 'aborted');
});

test('retries a copy of a run that has not started, and at another engine after a refusal', async () => {
	const {time, targetClient, markLeaving, copyAddresses} = startTestStream();
	let calls = 0;
	targetClient.copyResult = (toAddress) => {
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

	markLeaving('e1');
	await time.runUntil(400);
	assert.deepEqual(copyAddresses(), [
		thirdEngine.address,
		thirdEngine.address,
		secondEngine.address,
	]);
});

test('releases the copies when the run has finished', async () => {
	const {time, targetClient, markLeaving, acceptCopies} = startTestStream();
	acceptCopies('h1');
	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e1');
	await time.runUntil(10);
	targetClient.sends[0].listener.onEnd();
	assert.deepEqual(targetClient.releasedHandles, ['h1']);
});

test('uses the previous copy if the engine exits during the update of a copy (andamio, scale-1)', async () => {
	const {time, targetClient, response, markLeaving} = startTestStream();
	let calls = 0;
	targetClient.copyResult = () => {
		calls++;
		return calls === 1
			? {
					outcome: 'copied',
					copy: {address: firstEngine.address, handle: 'h1'},
				}
			: {outcome: 'failed', reason: 'other side closed'};
	};

	respondWithEvents(targetClient.sends[0], 1);
	markLeaving('e1');
	await time.runUntil(600);
	assert.equal(calls, 3);
	failSend(targetClient.sends[0], 'gone');
	assert.equal(targetClient.sends[1].address, thirdEngine.address);
	assert.equal(targetClient.sends[1].options.continueFrom?.handle, 'h1');
	respondAndEnd(targetClient.sends[1], 2);
	assert.equal(response.text, eventsText(1, 2));
});
