import assert from 'node:assert/strict';
import {test} from 'node:test';
import {freedTokens, peakTokens} from './memory-forecast.js';

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

test('counts only the memory of runs that end within the horizon', () => {
	const runs = [held(3000, 100), held(3000, 800)];
	assert.equal(freedTokens(runs, 50), 0);
	assert.equal(freedTokens(runs, 100), 3100);
	assert.equal(freedTokens(runs, 900), 6900);
});
