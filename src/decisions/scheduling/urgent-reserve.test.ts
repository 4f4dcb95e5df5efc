import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry,
	fakePlacementRequest,
} from '../../experiments/fakes/index.js';
import {keepUrgentReserve} from './urgent-reserve.js';

/** An engine of 10,000 tokens with runs of 3,000 tokens that are about to end. */
const engineWith = (targetId: string, runPriorities: readonly number[]) => ({
	...fakeEngineEntry(targetId, {capacityTokens: 10_000}),
	interTokenMs: 9,
	usage: {
		held: runPriorities.map(() => ({tokens: 3000, remainingTokens: 0})),
		runCount: runPriorities.length,
		runPriorities,
		accountTokens: new Map<string, number>(),
		pendingPromptTokens: 0,
	},
});

const long = fakePlacementRequest('q1', {priority: 2});
const idsOf = (engines: ReadonlyArray<{targetId: string}>) =>
	engines.map(({targetId}) => targetId).join(' ');

test('does not start a less urgent generation in the last places of more urgent ones', () => {
	const engines = [engineWith('e1', [2, 2]), engineWith('e2', [2])];
	const keep = (count: number, promptTokens = 3000) =>
		keepUrgentReserve(
			engines,
			{...long, promptTokens},
			{count, tokensEach: 2500},
		);
	// There is one place on e1 and two on e2. A long generation takes one of them, a larger one both on e2.
	assert.equal(idsOf(keep(0).engines), 'e1 e2');
	assert.equal(idsOf(keep(2).engines), 'e1 e2');
	assert.equal(idsOf(keep(2, 5300).engines), 'e1');
	assert.equal(idsOf(keep(3).engines), '');
	assert.equal(keep(2).keptTokens, 5000);
});

test('does not count scattered memory in which no urgent generation fits', () => {
	const engines = ['e1', 'e2', 'e3'].map((id) => engineWith(id, [2, 2, 2]));
	const {engines: usable} = keepUrgentReserve(engines, long, {
		count: 1,
		tokensEach: 2500,
	});
	assert.equal(usable.length, 0);
});

test('keeps no more free than the urgent generations need beside those that run', () => {
	const engines = [engineWith('e1', [0, 0]), engineWith('e2', [2])];
	const demand = {count: 2, tokensEach: 2500};
	const reserve = keepUrgentReserve(engines, long, demand);
	assert.equal(idsOf(reserve.engines), 'e1 e2');
	assert.equal(reserve.keptTokens, 0);
});
