import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import type {StopRunResult} from '../../common/index.js';
import {
	eventsText,
	failSend,
	refuseSend,
	respondAndEnd,
	respondWithEvents,
	startTestStream,
	testEngines,
} from '../../experiments/fakes/index.js';

const [firstEngine, secondEngine] = testEngines;
type TestStream = ReturnType<typeof startTestStream>;

/** Lets time pass with the regular checks of a daemon. */
async function checkUntil({time, session}: TestStream, untilMs: number) {
	while (time.nowMs() < untilMs) {
		session.tick();
		await time.runUntil(Math.min(untilMs, time.nowMs() + 100));
	}
}

/** Starts a stream that has received an event, with a backup. */
function startBegunStream() {
	const stream = startTestStream({backup: secondEngine});
	respondWithEvents(stream.targetClient.sends[0], 1);
	return stream;
}

const timedOut = {
	unsent: false,
	connectionEnded: true,
	timedOut: true,
	reason: 'ETIMEDOUT',
} as const;

const runningAt = (eventCount: number) => () =>
	({state: 'running', eventCount}) as const;

/** Result of an order that has left the KV cache at an engine. */
const stoppedWith = (holder: 'destination' | 'source') => () =>
	({
		outcome: 'stopped',
		holder,
		kvCache: {address: firstEngine.address, handle: 'h1'},
	}) as const;

/** Starts a stream behind a silent connection whose run is being stopped; the result comes after 200 ms. */
async function startStop(result: StopRunResult) {
	const stream = startBegunStream();
	const {targetClient, time} = stream;
	targetClient.status = runningAt(30);
	targetClient.stopResult = async () => {
		await time.sleep(200);
		return result;
	};

	await checkUntil(stream, 1000);
	return stream;
}

suite('runs whose connection is silent', () => {
	test('a run does not go on at a second engine while the first works on it behind a silent connection (review case 8)', async () => {
		const stream = startBegunStream();
		const {targetClient, response} = stream;
		targetClient.status = runningAt(30);
		targetClient.stopResult = () => ({outcome: 'failed', reason: 'status 503'});
		await checkUntil(stream, 20_000);
		assert.equal(targetClient.sends.length, 1);
		assert.equal(response.ending, undefined);
		assert.ok(targetClient.stops.length > 1, 'the order is repeated');
		assert.ok(targetClient.askedTargetIds.length <= 6, 'questions grow rare');

		const waiting = startTestStream({backup: secondEngine});
		waiting.targetClient.status = runningAt(0);
		await checkUntil(waiting, 10_000);
		assert.equal(waiting.targetClient.sends.length, 1);
	});

	test('a run behind a silent connection is stopped at its engine, and goes on from the copy made then', async () => {
		const stream = startBegunStream();
		const {targetClient, response} = stream;
		targetClient.status = runningAt(30);
		targetClient.stopResult = stoppedWith('destination');
		await checkUntil(stream, 1500);
		assert.deepEqual(targetClient.stops, [
			{address: firstEngine.address, toAddress: secondEngine.address},
		]);
		assert.equal(targetClient.sends[0].isDisposed, true);
		const [, second] = targetClient.sends;
		assert.equal(second.address, secondEngine.address);
		assert.equal(second.options.continueFrom?.handle, 'h1');
		assert.equal(second.options.lastEventId, '1');
		respondAndEnd(second, 2);
		assert.equal(response.text, eventsText(1, 2));
	});

	test('a stopped run whose copy found no room goes on at the engine that keeps its memory', async () => {
		const stream = startBegunStream();
		const {targetClient} = stream;
		targetClient.status = runningAt(30);
		targetClient.stopResult = stoppedWith('source');
		await checkUntil(stream, 1500);
		assert.equal(targetClient.sends[1].address, firstEngine.address);
		refuseSend(targetClient.sends[1]);
		assert.equal(targetClient.sends[2].address, secondEngine.address);
		assert.equal(targetClient.sends[2].options.continueFrom?.handle, 'q1');
	});

	test('a run without a backup is copied to an engine that has room', async () => {
		const stream = startTestStream();
		respondWithEvents(stream.targetClient.sends[0], 1);
		stream.targetClient.status = runningAt(30);
		stream.targetClient.stopResult = stoppedWith('destination');
		await checkUntil(stream, 1500);
		assert.equal(stream.targetClient.sends.length, 2);
	});

	test('a run that its engine no longer has costs its caller no longer wait, and without a copy it is given up', async () => {
		for (const state of ['absent', 'engine-ended'] as const) {
			const stream = startBegunStream();
			stream.targetClient.status = () => ({state});
			await checkUntil(stream, 1000);
			assert.equal(stream.targetClient.sends[1].address, secondEngine.address);
			assert.equal(stream.targetClient.stops.length, 0);

			const alone = startTestStream();
			respondWithEvents(alone.targetClient.sends[0], 1);
			alone.targetClient.status = () => ({state});
			await checkUntil(alone, 1000);
			assert.equal(alone.response.ending, undefined);
			await checkUntil(alone, 2000);
			assert.equal(alone.response.ending, 'aborted');
		}
	});

	test('a run without a copy is kept while its engine can not be reached', async () => {
		const stream = startTestStream();
		respondWithEvents(stream.targetClient.sends[0], 1);
		await checkUntil(stream, 10_000);
		assert.equal(stream.response.ending, undefined);
		respondAndEnd(stream.targetClient.sends[0], 2);
		assert.equal(stream.response.ending, 'whole');
	});

	test('a run is kept while its engine does not say whether it has the run, as of one that waits', async () => {
		const stream = startBegunStream();
		stream.targetClient.status = () => ({
			state: 'unstated',
			reason: '1 requests wait',
		});
		await checkUntil(stream, 6000);
		assert.equal(stream.targetClient.sends.length, 1);
		respondAndEnd(stream.targetClient.sends[0], 2);
		assert.equal(stream.response.text, eventsText(1, 2));
	});

	test('an event that arrives while the engine is asked, or later, keeps the run where it is', async () => {
		const stream = startBegunStream();
		const {targetClient, time} = stream;
		targetClient.status = async () => {
			await time.sleep(100);
			return {state: 'unreachable', reason: 'no connection'};
		};

		await checkUntil(stream, 650);
		respondWithEvents(targetClient.sends[0], 2);
		await checkUntil(stream, 1100);
		assert.equal(targetClient.askedTargetIds.length, 1);
		assert.equal(targetClient.sends.length, 1);
	});

	test('a VM that was paused while it asked does not take its engine for unreachable', async () => {
		const stream = startBegunStream();
		const {targetClient, time} = stream;
		targetClient.status = async () => {
			await time.sleep(3000);
			return {state: 'unreachable', reason: 'no connection'};
		};

		await checkUntil(stream, 4000);
		assert.equal(targetClient.sends.length, 1);
	});

	test('the end of the connection that a stop causes is not taken for a loss of the run', async () => {
		const stream = await startStop(stoppedWith('destination')());
		const {targetClient} = stream;
		failSend(targetClient.sends[0], 'closed');
		assert.equal(targetClient.sends.length, 1);
		await checkUntil(stream, 1300);
		assert.equal(targetClient.sends.length, 2);
		assert.equal(targetClient.sends[1].options.continueFrom?.handle, 'h1');
	});

	test('a run whose connection ended while it was not stopped goes on from its backup', async () => {
		const stream = await startStop({outcome: 'unknown-run'});
		const {targetClient} = stream;
		failSend(targetClient.sends[0], 'crashed');
		await checkUntil(stream, 1300);
		assert.equal(targetClient.sends[1].address, secondEngine.address);
		assert.equal(targetClient.sends[1].options.continueFrom?.handle, 'q1');
	});

	test('the copy of a run that ends while it is stopped is released', async () => {
		const stream = await startStop(stoppedWith('destination')());
		const {targetClient} = stream;
		respondAndEnd(targetClient.sends[0], 2);
		await checkUntil(stream, 1300);
		assert.equal(targetClient.sends.length, 1);
		assert.deepEqual(targetClient.releasedHandles, ['h1']);
	});
});

suite('runs that their engine has paused', () => {
	test('a paused run is neither given up for a copy that may not exist nor stopped, however long it pauses (review case 9)', async () => {
		for (const passedEvents of [0, 1]) {
			const stream = startTestStream({backup: secondEngine});
			const {targetClient, response, log} = stream;
			respondWithEvents(
				targetClient.sends[0],
				...Array.from({length: passedEvents}, (_, index) => index + 1),
			);
			targetClient.status = runningAt(passedEvents);
			await checkUntil(stream, 20_000);
			assert.equal(targetClient.sends.length, 1);
			assert.equal(targetClient.stops.length, 0);
			const checked = log.find(({event}) => event === 'silent run checked');
			assert.equal(checked?.record.finding, 'paused');
			respondAndEnd(targetClient.sends[0], passedEvents + 1);
			assert.equal(response.ending, 'whole');
		}
	});

	test('an event that the engine has reported has time to arrive before its run is stopped', async () => {
		const stream = startBegunStream();
		const {targetClient, time} = stream;
		targetClient.status = async () => {
			await time.sleep(350);
			return runningAt(2)();
		};

		await checkUntil(stream, 1100);
		respondWithEvents(targetClient.sends[0], 2);
		await checkUntil(stream, 1400);
		assert.equal(targetClient.stops.length, 0);
	});

	test('a lost run does not wait for a copy that may not exist while another is known to exist', async () => {
		const stream = startTestStream({
			backup: secondEngine,
			areDeparturesReported: false,
		});
		const {targetClient, log} = stream;
		respondWithEvents(targetClient.sends[0], 1);
		stream.acceptCopies('h1');
		stream.markUnreachable(secondEngine.id);
		await checkUntil(stream, 100);
		failSend(targetClient.sends[0], 'crashed');
		refuseSend(targetClient.sends[1]);
		const copies = log
			.filter(({event}) => event === 'stream sent')
			.map(({record}) => record.copy);
		assert.deepEqual(copies, [undefined, 'known', 'possible']);
	});
});

// Guards against a response that is given up for a backup that can not exist, and against a caller that waits in vain.
test('a run without a copy whose engine can not be reached is kept until its engine is not listed any more', async () => {
	const stream = startTestStream({backup: secondEngine});
	const {targetClient, response} = stream;
	targetClient.backupDelayMs = 1000;
	respondWithEvents(targetClient.sends[0], 1);
	await checkUntil(stream, 10_000);
	assert.equal(response.ending, undefined);
	stream.markLeaving(firstEngine.id);
	await checkUntil(stream, 20_000);
	assert.equal(targetClient.sends.length, 1);
	assert.equal(response.ending, 'aborted');
});

suite('runs whose connection has timed out', () => {
	test('a run is stopped at its engine, which has not noticed the end of the connection, before it goes on elsewhere', async () => {
		const stream = startBegunStream();
		const {targetClient} = stream;
		targetClient.status = runningAt(30);
		targetClient.stopResult = stoppedWith('destination');
		targetClient.sends[0].listener.onFailure(timedOut);
		assert.equal(targetClient.sends.length, 1);
		await checkUntil(stream, 100);
		assert.equal(targetClient.sends[1].options.continueFrom?.handle, 'h1');
	});

	test('a run that can not be stopped does not go on elsewhere, and its caller is told within seconds', async () => {
		const stream = startBegunStream();
		const {targetClient, response} = stream;
		targetClient.status = runningAt(30);
		targetClient.sends[0].listener.onFailure(timedOut);
		await checkUntil(stream, 3000);
		assert.equal(targetClient.sends.length, 1);
		assert.equal(response.ending, 'aborted');
	});

	test('a run whose engine is gone goes on from its backup at once', async () => {
		const stream = startBegunStream();
		stream.targetClient.sends[0].listener.onFailure(timedOut);
		await checkUntil(stream, 100);
		assert.equal(stream.targetClient.sends[1].address, secondEngine.address);
	});
});
