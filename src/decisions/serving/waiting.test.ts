import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideWait} from './generation-wait.js';
import {mayCallWhileStopping, mayStartWhileStopping} from './stopping.js';

const inputs = {
	memoryPart: 0.7,
	firstTokenMs: 300,
	waitedMs: 0,
	objectiveMs: 1800,
	neededTokens: 3000,
	capacityTokens: 34_000,
};

test('replay "more generations than memory": they wait, but not past their objective', () => {
	assert.equal(decideWait(inputs), 'send');
	assert.equal(decideWait({...inputs, memoryPart: 1.2}), 'wait');
	assert.equal(
		decideWait({...inputs, memoryPart: 1.2, waitedMs: 1300}),
		'send',
	);
	assert.equal(
		decideWait({...inputs, memoryPart: 1.2, firstTokenMs: 1700}),
		'send',
	);
});

test('guards against holding a request that no engine can ever run', () => {
	assert.equal(decideWait({...inputs, neededTokens: 35_000}), 'refuse');
});

test('replay "VMs stopped in turn": only what ends within the grace time is begun', () => {
	assert.equal(mayStartWhileStopping(12, 7000), true);
	assert.equal(mayStartWhileStopping(900, 7000), false);
	assert.equal(mayStartWhileStopping(400, 7000), true);
});

test('guards against a call that begins 36 ms before its VM ends (altiplano, mix, seed 97323344234)', () => {
	assert.equal(mayCallWhileStopping(2500, 36), false);
	assert.equal(mayCallWhileStopping(400, 450), true);
	assert.equal(mayCallWhileStopping(2500, 5000), true);
});
