import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry,
	fakeMediumRequest,
	startTestScheduler,
} from '../../experiments/fakes/index.js';

/** An engine with memory for five generations. */
const engine = fakeEngineEntry('e1', {capacityTokens: 19_000});

function startFull() {
	const started = startTestScheduler([engine]);
	for (let index = 0; index < 5; index++) {
		started.place(fakeMediumRequest(`q${index}`));
	}

	assert.equal(started.place(fakeMediumRequest('queued')).outcome, 'waiting');
	return started;
}

test('a queued request that is placed when it is sent again is not placed a second time by the queue', () => {
	const {registry, place, scheduler, decisions} = startFull();
	registry.remove('vm-1', 'q0');
	registry.release('vm-1', 'q0');
	assert.equal(place(fakeMediumRequest('queued')).outcome, 'placed');
	assert.equal(scheduler.waitingCount, 0);
	scheduler.tick();
	assert.deepEqual(decisions, []);
});

test('a request that may use no engine is refused at once behind others too, with a time that a message can hold', () => {
	const {place} = startFull();
	const decision = place(
		fakeMediumRequest('excluded', {excludedTargetIds: ['e1'], priority: 9}),
	);
	assert.ok(decision.outcome === 'refused');
	assert.equal(decision.reason, 'no engine of the service is usable');
	assert.ok(Number.isFinite(decision.retryAfterMs));
});
