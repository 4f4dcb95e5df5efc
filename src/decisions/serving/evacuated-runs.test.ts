import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {
	failSend,
	respondWithEvents,
	startTestStream,
	testEngines,
} from '../../experiments/fakes/index.js';

const [firstEngine, secondEngine, thirdEngine] = testEngines;

suite('runs in an evacuated availability zone', () => {
	test('a run goes on where it is, and gets a copy at an engine that is not evacuated', async () => {
		const stream = startTestStream();
		stream.acceptCopies('h1');
		respondWithEvents(stream.targetClient.sends[0], 1);
		stream.evacuate('e1', 'e3');
		await stream.time.runUntil(2000);
		assert.deepEqual(stream.copyAddresses(), [secondEngine.address]);
		assert.equal(stream.targetClient.sends[0].isDisposed, false);
		failSend(stream.targetClient.sends[0]);
		assert.equal(stream.targetClient.sends[1].address, secondEngine.address);
	});

	test('a backup in an evacuated zone does not count, and is replaced by a copy elsewhere', async () => {
		const stream = startTestStream({backup: secondEngine});
		stream.acceptCopies('h1');
		respondWithEvents(stream.targetClient.sends[0], 1);
		stream.evacuate('e2');
		await stream.time.runUntil(10);
		assert.deepEqual(stream.copyAddresses(), [thirdEngine.address]);
	});

	test('a copy is not updated once its engine is evacuated, but made elsewhere', async () => {
		const stream = startTestStream();
		stream.acceptCopies('h1');
		respondWithEvents(stream.targetClient.sends[0], 1);
		stream.markLeaving('e1');
		await stream.time.runUntil(10);
		stream.evacuate('e3');
		await stream.time.runUntil(800);
		assert.deepEqual(stream.copyAddresses(), [
			thirdEngine.address,
			secondEngine.address,
		]);
	});

	test('a run that found no room for a copy looks again later, and at once when its engine leaves', async () => {
		const stream = startTestStream();
		stream.acceptCopies('h1');
		respondWithEvents(stream.targetClient.sends[0], 1);
		stream.evacuate('e1', 'e2', 'e3');
		await stream.time.runUntil(1000);
		assert.deepEqual(stream.copyAddresses(), []);
		stream.evacuate('e1', 'e2');
		await stream.time.runUntil(2000);
		stream.session.tick();
		await stream.time.runUntil(2010);
		assert.deepEqual(stream.copyAddresses(), []);
		await stream.time.runUntil(2600);
		stream.session.tick();
		await stream.time.runUntil(2610);
		assert.deepEqual(stream.copyAddresses(), [thirdEngine.address]);

		const leaving = startTestStream();
		leaving.acceptCopies('h1');
		respondWithEvents(leaving.targetClient.sends[0], 1);
		leaving.evacuate('e1', 'e2', 'e3');
		await leaving.time.runUntil(100);
		leaving.evacuate('e1', 'e2');
		leaving.markLeaving('e1');
		await leaving.time.runUntil(110);
		assert.deepEqual(leaving.copyAddresses(), [thirdEngine.address]);
	});

	test('a request that waits for a connection is withheld once its engine or the backup is evacuated', () => {
		const stream = startTestStream({backup: secondEngine});
		const [{options}] = stream.targetClient.sends;
		assert.equal(options.mayStart(), true);
		stream.evacuate('e1');
		assert.equal(options.mayStart(), false);
		stream.evacuate('e2');
		assert.equal(options.mayStart(), false);
		stream.evacuate();
		assert.equal(options.mayStart(), true);
		assert.equal(stream.targetClient.sends[0].address, firstEngine.address);
	});

	test('an engine does not count as failing because of a request that this VM has withheld', () => {
		const failed: string[] = [];
		const stream = startTestStream({
			backup: secondEngine,
			onSendResult({id}, succeeded) {
				if (!succeeded) {
					failed.push(id);
				}
			},
		});
		const [{listener}] = stream.targetClient.sends;
		listener.onFailure({
			unsent: true,
			withheld: true,
			connectionEnded: false,
			reason: 'the request is not wanted any more',
		});
		assert.equal(stream.targetClient.sends.length, 2);
		assert.deepEqual(failed, []);
	});
});
