import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	fakeEngineEntry as engine,
	fakeMediumRequest as mediumRequest,
	fakePlacementRequest as longRequest,
	startTestScheduler as start,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createRetryAdvice} from './retry-advice.js';

/** Memory that frees 4,000 tokens per second. */
const memory = {
	freeChance: (_request: unknown, aheadTokens: number, withinMs: number) =>
		withinMs * 4 >= aheadTokens + 3700 ? 1 : 0,
};

test('advises the time at which memory is expected, later for each caller that was told to come back before', () => {
	const advice = createRetryAdvice(
		new VirtualTime(),
		new SeededRandomSource(3),
	);
	const times = Array.from({length: 6}, (_, index) =>
		advice.retryAfterMs(longRequest(`q${index}`), memory, 4000, 0),
	);
	assert.ok(times[0] >= 2000 && times[0] <= 2000 * 1.4);
	assert.ok(Math.max(...times) >= 6000);
	assert.equal(new Set(times).size, times.length);
});

test('advises no time that the caller would ignore, and spreads the callers over what they accept', () => {
	const advice = createRetryAdvice(
		new VirtualTime(),
		new SeededRandomSource(3),
	);
	const times = Array.from({length: 50}, (_, index) =>
		advice.retryAfterMs(
			longRequest(`q${index}`, {remainingMs: 12_000}),
			memory,
			1e6,
			0,
		),
	);
	assert.ok(Math.max(...times) <= 4000);
	assert.ok(Math.max(...times) - Math.min(...times) > 1500);
});

test('advises a caller that has waited by the time that it has left, since it ignores more than a third of that', async () => {
	const {place, advanceTo, decisions} = start([
		engine('e1', {capacityTokens: 19_000}),
	]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	place(mediumRequest('q9', {remainingMs: 14_000}));
	await advanceTo(10_000);
	const refused = decisions.at(0)?.decision;
	assert.ok(refused?.outcome === 'refused');
	// It is refused after more than 7 s.
	assert.ok(refused.retryAfterMs <= 7000 / 3);
});
