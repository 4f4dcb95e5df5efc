import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEngineSimulation} from './engine-simulation.js';

const options = {
	capacityTokens: 100,
	maxRunning: 8,
	stepBaseMs: 10,
	stepPerRunningMs: 1,
	prefillPerTokenMs: 1,
};

const generation = (id: string, priority: number, outputTokens = 50) => ({
	id,
	promptTokens: 30,
	outputTokens,
	priority,
	finishReason: 'stop' as const,
});

test('a full KV cache preempts the least important generation, which later continues with the tokens it produced', () => {
	const simulation = createEngineSimulation(options);
	simulation.submit(generation('important', 0));
	simulation.submit(generation('other', 1));
	let preempted: string[] = [];
	while (preempted.length === 0) {
		preempted = simulation.step().preempted.map((one) => one.generation.id);
	}

	assert.deepEqual(preempted, ['other']);
	const produced = simulation.waiting[0].producedTokens;
	assert.equal(produced > 0, true);
	while (simulation.waitingCount > 0) {
		assert.equal(simulation.usedTokens <= options.capacityTokens, true);
		simulation.step();
	}

	assert.equal(simulation.running[0].producedTokens, produced + 1);
});

test('a waiting generation preempts less important ones, but none of the same priority', () => {
	const simulation = createEngineSimulation(options);
	simulation.submit(generation('a', 1));
	simulation.submit(generation('b', 1));
	for (let step = 0; step < 5; step++) {
		simulation.step();
	}

	simulation.submit(generation('c', 1));
	simulation.step();
	assert.equal(simulation.waitingCount, 1);
	simulation.submit(generation('d', 0));
	const {preempted} = simulation.step();
	assert.deepEqual(
		preempted.map((one) => one.generation.id),
		['b'],
	);
});

test('the cache events report each stored and each evicted prefix once', () => {
	const simulation = createEngineSimulation({...options, cacheTokens: 512});
	const hashes = ['x', 'x/y'];
	simulation.submit({...generation('a', 0, 1), prefixHashes: hashes});
	simulation.step();
	assert.equal(simulation.cachedTokens(hashes), 512);
	simulation.submit({...generation('b', 0, 1), prefixHashes: ['z']});
	simulation.step();
	assert.equal(simulation.cachedTokens(hashes), 256);
	assert.deepEqual(
		simulation
			.takeCacheEvents()
			.map(({change, prefixHash}) => `${change} ${prefixHash}`),
		['stored x/y', 'stored x', 'stored z', 'evicted x/y'],
	);
});
