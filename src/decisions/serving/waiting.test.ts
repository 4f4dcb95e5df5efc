import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideWait} from './generation-wait.js';
import {mayCallWhileStopping, mayStartWhileStopping} from './stopping.js';

const inputs = {
	memoryPart: 0.7,
	firstTokenMs: 300,
	waitedMs: 0,
	objectiveMs: 1800,
	timeoutMs: 39_000,
	promptTokens: 3000,
	capacityTokens: 34_000,
};

test('replay "more generations than memory": the next one waits', () => {
	assert.equal(decideWait(inputs), 'send');
	assert.equal(decideWait({...inputs, memoryPart: 1.2}), 'wait');
});

test('replay "overload lasts": late generations leave memory to those that can be on time', () => {
	const late = {...inputs, waitedMs: 1300};
	assert.equal(decideWait({...late, memoryPart: 1.2}), 'wait');
	assert.equal(decideWait({...late, memoryPart: 0.9}), 'wait');
	assert.equal(decideWait({...inputs, memoryPart: 0.9}), 'send');
	assert.equal(decideWait({...late, memoryPart: 0.8}), 'send');
});

test('guards against a late generation that never runs', () => {
	const waited = {...inputs, waitedMs: 11_800, memoryPart: 2};
	assert.equal(decideWait(waited), 'send');
	assert.equal(decideWait({...waited, waitedMs: 11_000}), 'wait');
});

test('guards against holding a request that no engine can ever run', () => {
	assert.equal(decideWait({...inputs, promptTokens: 35_000}), 'refuse');
});

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
