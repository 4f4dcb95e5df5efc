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
		readonly memory?: ReadonlyMap<string, ReplicaHistory>;
		readonly isFree?: (targetId: string) => boolean;
	} = {},
) =>
	planModels({
		models: new Map([['m', model]]),
		demand: new Map([['m', {tokensPerSecond, queueLength: 0}]]),
		engines,
		history: options.memory ?? new Map(),
		settings,
		isAvailable: options.isFree ?? (() => true),
		nowMs,
	});

// Guards against flapping between two counts at a steady or slowly changing demand.
test('a demand between the marks changes nothing', () => {
	for (let copies = 1; copies <= model.maxCopies; copies++) {
		const demand = {tokensPerSecond: copies * 65, queueLength: 0};
		assert.equal(wantedReplicas(copies, demand, model, settings), copies);
	}

	const rising = {tokensPerSecond: 170, queueLength: 0};
	assert.equal(wantedReplicas(2, rising, model, settings), 3);
	const falling = {tokensPerSecond: 40, queueLength: 0};
	assert.equal(wantedReplicas(2, falling, model, settings), 1);
	const queued = {tokensPerSecond: 170, queueLength: 25};
	assert.equal(wantedReplicas(2, queued, model, settings), 5);
});

// Guards against copies that all stand in one availability zone.
test('copies spread over availability zones', () => {
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

// Guards against unloading on a short dip, and against a VM that leaves the work to one that is gone.
test('a surplus must last, and the next candidate steps in', () => {
	const engines = [view(0, ['m']), view(1, ['m']), view(2, ['m'])];
	const first = plan(engines, 20, 0);
	assert.deepEqual(first.commands, []);
	const due = plan(engines, 20, 1000, first);
	assert.equal(due.commands[0]?.kind, 'unload-model');
	const chosen = due.commands[0].targetId;
	const others = (targetId: string) => targetId !== chosen;
	const waiting = plan(engines, 20, 1400, {
		memory: first.memory,
		isFree: others,
	});
	assert.deepEqual(waiting.commands, []);
	const steppedIn = plan(engines, 20, 1600, {
		memory: first.memory,
		isFree: others,
	});
	assert.equal(steppedIn.commands.length, 1);
	const dip = plan(engines, 170, 500, first);
	assert.deepEqual(plan(engines, 20, 1200, dip).commands, []);
});

// Guards against a late copy of an old command that stays in force.
test('deviations from the last command are repaired', () => {
	const wanted = {m: {state: 'unloaded', version: '1'}} as const;
	assert.equal(planRepair(view(0, ['m']), wanted)[0]?.kind, 'unload-model');
	assert.deepEqual(planRepair(view(0, []), wanted), []);
});
