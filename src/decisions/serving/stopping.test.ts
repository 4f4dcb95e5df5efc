import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mayCallWhileStopping, mayStartWhileStopping} from './stopping.js';

test('replay "VMs stopped in turn": only what ends within the grace time is begun', () => {
	assert.equal(mayStartWhileStopping(12, 500, 7000), true);
	assert.equal(mayStartWhileStopping(900, 500, 7000), false);
	assert.equal(mayStartWhileStopping(400, 500, 7000), true);
});

test('guards against a generation that gets longer than expected and is cut (altiplano, stop-in-turn, seed 802973888570)', () => {
	assert.equal(mayStartWhileStopping(250, 4100, 3500), false);
	assert.equal(mayStartWhileStopping(12, 4100, 3500), true);
});

test('guards against a call that begins 36 ms before its VM ends (altiplano, mix, seed 97323344234)', () => {
	assert.equal(mayCallWhileStopping(2500, 36), false);
	assert.equal(mayCallWhileStopping(400, 450), true);
	assert.equal(mayCallWhileStopping(2500, 5000), true);
});
