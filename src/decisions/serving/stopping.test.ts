import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mayStartWhileStopping, type StopTimes} from './stopping.js';

const early = {sinceSignalMs: 500, leftMs: 7000};
const late = {sinceSignalMs: 4100, leftMs: 3500};

const mayStartGeneration = (
	expectedTokens: number,
	times: StopTimes,
	{maxTokens = 2200, timeLeftMs = 39_000} = {},
) =>
	mayStartWhileStopping(
		{timeLeftMs, generation: {expectedTokens, maxTokens}},
		times,
	);

const mayStartCall = (timeLeftMs: number, times: StopTimes) =>
	mayStartWhileStopping({timeLeftMs, generation: undefined}, times);

test('a stopping VM starts only generations that end within the grace period', () => {
	assert.equal(mayStartGeneration(12, early), true);
	assert.equal(mayStartGeneration(300, early), true);
	assert.equal(mayStartGeneration(400, early, {maxTokens: 500}), true);
	assert.equal(mayStartGeneration(900, early), false);
});

test('just after the signal, refuses a generation that is cut off if it gets longer than expected (andamio, inc-bfda)', () => {
	assert.equal(mayStartGeneration(400, early), false);
	assert.equal(
		mayStartGeneration(600, {sinceSignalMs: 240, leftMs: 7360}),
		false,
	);
});

test('late in the stop, refuses a generation that is cut off if it gets longer than expected (altiplano, stop-in-turn, seed 802973888570)', () => {
	assert.equal(mayStartGeneration(250, late), false);
});

test('late in the stop, refuses what is not certain to end, however short it is expected to be (altiplano, planned stop in calm, issue 36)', () => {
	assert.equal(mayStartGeneration(1, late), false);
	assert.equal(mayStartGeneration(1, late, {maxTokens: 1}), false);
	assert.equal(mayStartGeneration(900, late, {timeLeftMs: 3400}), true);
	assert.equal(mayStartCall(3600, late), false);
	assert.equal(mayStartCall(3400, late), true);
});

test('does not start a call 36 ms before the VM exits (altiplano, mix, seed 97323344234)', () => {
	assert.equal(mayStartCall(2500, {sinceSignalMs: 7564, leftMs: 36}), false);
	assert.equal(mayStartCall(400, {sinceSignalMs: 7150, leftMs: 450}), true);
	assert.equal(mayStartCall(2500, {sinceSignalMs: 2600, leftMs: 5000}), true);
});
