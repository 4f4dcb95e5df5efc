import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineView, ReplicaHistory, ModelSettings} from './types.js';
import {planModels, planRepair, wantedReplicas} from './index.js';

const settings = {
	growAtLoad: 0.8,
	shrinkAtLoad: 0.5,
	minDwellMs: 1000,
	staleAfterMs: 5000,
	stepInMs: 500,
};
const model: ModelSettings = {
	version: '1',
	minCopies: 1,
	maxCopies: 6,
	tokensPerSecondPerCopy: 100,
	tokensPerSecondPerStream: 20,
	queuePerCopy: 10,
};

const view = (index: number, models: readonly string[]): EngineView => ({
	target: {
		id: `engine-${index}`,
		kind: 'engine',
		url: '',
		availabilityZone: `zone-${index % 3}`,
		models: ['m'],
		service: '',
		fencing: 'ignores',
		answersOutcomes: false,
	},
	models,
	leaving: false,
	seenMs: 0,
	runningCount: 0,
	waitingCount: 0,
});

const plan = (
	engines: readonly EngineView[],
	tokensPerSecond: number,
	nowMs: number,
	options: {
		readonly history?: ReadonlyMap<string, ReplicaHistory>;
		readonly isAvailable?: (targetId: string) => boolean;
	} = {},
) =>
	planModels({
		models: new Map([['m', model]]),
		demand: new Map([['m', {tokensPerSecond, queueLength: 0}]]),
		engines,
		history: options.history ?? new Map(),
		settings,
		isAvailable: options.isAvailable ?? (() => true),
		nowMs,
	});

// With equal thresholds a steady demand would alternately load and unload a replica.
test('the number of replicas changes only outside the two load thresholds or with a queue', () => {
	for (let count = 1; count <= model.maxCopies; count++) {
		const demand = {tokensPerSecond: count * 65, queueLength: 0};
		assert.equal(wantedReplicas(count, demand, model, settings), count);
	}

	const rising = {tokensPerSecond: 170, queueLength: 0};
	assert.equal(wantedReplicas(2, rising, model, settings), 3);
	const falling = {tokensPerSecond: 40, queueLength: 0};
	assert.equal(wantedReplicas(2, falling, model, settings), 1);
	const queued = {tokensPerSecond: 170, queueLength: 25};
	assert.equal(wantedReplicas(2, queued, model, settings), 5);
});

// With all replicas in one availability zone, the loss of that zone would remove the model.
test('replicas are spread over availability zones', () => {
	let engines = Array.from({length: 9}, (_, index) => view(index, []));
	for (let round = 0; round < 3; round++) {
		const {commands} = plan(engines, 350, 0);
		assert.equal(commands.length, 1);
		engines = engines.map((one) =>
			one.target.id === commands[0].targetId ? {...one, models: ['m']} : one,
		);
	}

	const zones = engines
		.filter((one) => one.models.length > 0)
		.map((one) => one.target.availabilityZone);
	assert.equal(new Set(zones).size, 3);
});

// A short dip of the demand must not unload a replica, and a holder that is gone must not block an
// unload for good.
test('a surplus must last, and the next engine follows if the first is not unloaded', () => {
	const engines = [view(0, ['m']), view(1, ['m']), view(2, ['m'])];
	const first = plan(engines, 20, 0);
	assert.deepEqual(first.commands, []);
	const due = plan(engines, 20, 1000, first);
	assert.equal(due.commands[0]?.kind, 'unload-model');
	const chosen = due.commands[0].targetId;
	const others = (targetId: string) => targetId !== chosen;
	const waiting = plan(engines, 20, 1400, {
		history: first.history,
		isAvailable: others,
	});
	assert.deepEqual(waiting.commands, []);
	const steppedIn = plan(engines, 20, 1600, {
		history: first.history,
		isAvailable: others,
	});
	assert.equal(steppedIn.commands.length, 1);
	const recovered = plan(engines, 170, 500, first);
	assert.deepEqual(plan(engines, 20, 1200, recovered).commands, []);
});

// A copy of an older command that arrives late would otherwise change the target permanently.
test('deviations from the last command are repaired', () => {
	const wanted = {m: {state: 'unloaded', version: '1'}} as const;
	assert.equal(planRepair(view(0, ['m']), wanted)[0]?.kind, 'unload-model');
	assert.deepEqual(planRepair(view(0, []), wanted), []);
});
