import assert from 'node:assert/strict';
import {test} from 'node:test';
import {freedTokens, peakTokens} from './memory-forecast.js';

const held = (tokens: number, remainingTokens: number) => ({
	tokens,
	remainingTokens,
});

test('guards against a forecast in which all generations peak at the same time', () => {
	assert.equal(peakTokens([]), 0);
	assert.equal(peakTokens([held(3000, 500)]), 3500);
	assert.equal(peakTokens([held(3000, 500), held(3000, 500)]), 7000);
	// The first ends after 100 tokens each; only then does the second grow to its end.
	assert.equal(peakTokens([held(3000, 100), held(3000, 1000)]), 6200);
	assert.equal(peakTokens([held(100, 10), held(3000, 1000)]), 4000);
	// Up to the end of a short run, the growth of others after it does not count.
	assert.equal(peakTokens([held(100, 10), held(3000, 1000)], 10), 3120);
	assert.equal(peakTokens([held(3000, 1000)], 400), 3400);
});

test('guards against counting on memory that runs hold for longer', () => {
	const runs = [held(3000, 100), held(3000, 800)];
	assert.equal(freedTokens(runs, 50), 0);
	assert.equal(freedTokens(runs, 100), 3100);
	assert.equal(freedTokens(runs, 900), 6900);
});
