import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	mayStartCallWhileStopping,
	mayStartGenerationWhileStopping,
} from './stopping.js';

const generation = (expectedTokens: number, maxTokens = 2200) => ({
	expectedTokens,
	maxTokens,
});
const early = {sinceSignalMs: 500, leftMs: 7000};
const late = {sinceSignalMs: 4100, leftMs: 3500};

test('a stopping VM starts only generations that end within the grace period', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(12), early), true);
	assert.equal(mayStartGenerationWhileStopping(generation(300), early), true);
	assert.equal(
		mayStartGenerationWhileStopping(generation(400, 500), early),
		true,
	);
	assert.equal(mayStartGenerationWhileStopping(generation(900), early), false);
});

test('just after the signal, refuses a generation that is cut off if it gets longer than expected (andamio, inc-bfda)', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(400), early), false);
	assert.equal(
		mayStartGenerationWhileStopping(generation(600), {
			sinceSignalMs: 240,
			leftMs: 7360,
		}),
		false,
	);
});

test('late in the stop, refuses a generation that is cut off if it gets longer than expected (altiplano, stop-in-turn, seed 802973888570)', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(250), late), false);
	assert.equal(mayStartGenerationWhileStopping(generation(12), late), true);
});

test('does not start a call 36 ms before the VM exits (altiplano, mix, seed 97323344234)', () => {
	assert.equal(mayStartCallWhileStopping(2500, 36), false);
	assert.equal(mayStartCallWhileStopping(400, 450), true);
	assert.equal(mayStartCallWhileStopping(2500, 5000), true);
});
