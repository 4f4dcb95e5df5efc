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

test('replay "VMs stopped in turn": only what ends within the grace time is begun', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(12), early), true);
	assert.equal(mayStartGenerationWhileStopping(generation(300), early), true);
	assert.equal(
		mayStartGenerationWhileStopping(generation(400, 500), early),
		true,
	);
	assert.equal(mayStartGenerationWhileStopping(generation(900), early), false);
});

test('guards against a generation accepted just after the signal that gets longer than expected and is cut (andamio, inc-bfda)', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(400), early), false);
	assert.equal(
		mayStartGenerationWhileStopping(generation(600), {
			sinceSignalMs: 240,
			leftMs: 7360,
		}),
		false,
	);
});

test('guards against a generation that gets longer than expected and is cut (altiplano, stop-in-turn, seed 802973888570)', () => {
	assert.equal(mayStartGenerationWhileStopping(generation(250), late), false);
	assert.equal(mayStartGenerationWhileStopping(generation(12), late), true);
});

test('guards against a call that begins 36 ms before its VM ends (altiplano, mix, seed 97323344234)', () => {
	assert.equal(mayStartCallWhileStopping(2500, 36), false);
	assert.equal(mayStartCallWhileStopping(400, 450), true);
	assert.equal(mayStartCallWhileStopping(2500, 5000), true);
});
