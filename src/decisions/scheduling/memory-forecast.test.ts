import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exceedanceChance, freedTokens, peakTokens} from './memory-forecast.js';

const held = (tokens: number, remainingTokens: number) => ({
	tokens,
	remainingTokens,
});

test('accounts for runs that end before others reach their peak', () => {
	assert.equal(peakTokens([]), 0);
	assert.equal(peakTokens([held(3000, 500)]), 3500);
	assert.equal(peakTokens([held(3000, 500), held(3000, 500)]), 7000);
	// The first ends when both have grown by 100 tokens; only then does the second grow to its end.
	assert.equal(peakTokens([held(3000, 100), held(3000, 1000)]), 6200);
	assert.equal(peakTokens([held(100, 10), held(3000, 1000)]), 4000);
	// With a horizon of 10 tokens the later growth of the other run does not count.
	assert.equal(peakTokens([held(100, 10), held(3000, 1000)], 10), 3120);
	assert.equal(peakTokens([held(3000, 1000)], 400), 3400);
});

test('counts the memory of runs by the chance that they end within the horizon, since forecasts are off', () => {
	const runs = [held(3000, 100), held(3000, 800)];
	const deviation = (withinTokens: number) =>
		Math.sqrt(freedTokens(runs, withinTokens).variance);
	assert.equal(freedTokens(runs, 50).mean, 0);
	assert.equal(Math.round(freedTokens(runs, 100).mean), 1550);
	assert.equal(Math.round(deviation(100)), 1550);
	assert.equal(freedTokens(runs, 400).mean, 3100);
	assert.equal(deviation(400), 0);
	assert.equal(freedTokens(runs, 1200).mean, 6900);
});

test('an amount that is exactly what is needed on average suffices half of the time, and a certain one always', () => {
	assert.equal(exceedanceChance({mean: 3000, variance: 1e6}, 3000), 0.5);
	assert.ok(exceedanceChance({mean: 4000, variance: 1e6}, 3000) > 0.8);
	assert.ok(exceedanceChance({mean: 2000, variance: 1e6}, 3000) < 0.2);
	assert.equal(exceedanceChance({mean: 4000, variance: 0}, 3000), 1);
});
