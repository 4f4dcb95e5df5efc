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

// Guards against a preemption that hits an important stream or forgets what was produced.
test('preempts the least important stream and computes it again', () => {
	const model = createEngineSimulation(options);
	model.submit(generation('important', 0));
	model.submit(generation('other', 1));
	let preempted: string[] = [];
	while (preempted.length === 0) {
		preempted = model.step().preempted.map((one) => one.generation.id);
	}

	assert.deepEqual(preempted, ['other']);
	const produced = model.waiting[0].producedTokens;
	assert.equal(produced > 0, true);
	while (model.waitingCount > 0) {
		assert.equal(model.usedTokens <= options.capacityTokens, true);
		model.step();
	}

	assert.equal(model.running[0].producedTokens, produced + 1);
});

// Guards against important work that waits behind unimportant work.
test('makes room for a more important generation, never for an equal one', () => {
	const model = createEngineSimulation(options);
	model.submit(generation('a', 1));
	model.submit(generation('b', 1));
	for (let step = 0; step < 5; step++) {
		model.step();
	}

	model.submit(generation('c', 1));
	model.step();
	assert.equal(model.waitingCount, 1);
	model.submit(generation('d', 0));
	const {preempted} = model.step();
	assert.deepEqual(
		preempted.map((one) => one.generation.id),
		['b'],
	);
});

// Guards against cache events that differ from what the cache holds.
test('computes a cached prefix once and tells of evictions', () => {
	const model = createEngineSimulation({...options, cacheTokens: 512});
	const hashes = ['x', 'x/y'];
	model.submit({...generation('a', 0, 1), prefixHashes: hashes});
	model.step();
	assert.equal(model.cachedTokens(hashes), 512);
	model.submit({...generation('b', 0, 1), prefixHashes: ['z']});
	model.step();
	assert.equal(model.cachedTokens(hashes), 256);
	assert.deepEqual(
		model
			.takeCacheEvents()
			.map(({change, prefixHash}) => `${change} ${prefixHash}`),
		['stored x/y', 'stored x', 'stored z', 'evicted x/y'],
	);
});
