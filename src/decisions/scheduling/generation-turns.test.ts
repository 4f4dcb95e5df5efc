import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry as engine,
	fakeMediumRequest as mediumRequest,
	fakePlacementRequest as longRequest,
	startTestScheduler as start,
	targetOfDecision as targetOf,
} from '../../experiments/fakes/index.js';

const limitedEngine = (id: string, waitMs: number, intervalMs = 1000) =>
	engine(id, {turns: {waitMs, intervalMs, isCold: false}});

test('places no run at an engine whose rate limit leaves no turn now, and takes the turn of one that it places', () => {
	const taken: string[] = [];
	const {place} = start(
		[limitedEngine('e1', 400), limitedEngine('e2', 0)],
		(targetId) => {
			taken.push(targetId);
		},
	);
	assert.equal(targetOf(place(mediumRequest('q1'))), 'e2');
	assert.deepEqual(taken, ['e2']);
});

test('places a copy at an engine with a rate limit without taking a turn', () => {
	const taken: string[] = [];
	const {place} = start([limitedEngine('e1', 400)], (targetId) => {
		taken.push(targetId);
	});
	const copy = longRequest('q1', {purpose: 'copy', doneTokens: 40});
	assert.equal(targetOf(place(copy)), 'e1');
	assert.deepEqual(taken, []);
});

test('queues a generation for the turn of an engine and places it when the turn comes', async () => {
	const engines = [limitedEngine('e1', 400)];
	const {place, advanceTo, decisions} = start(engines);
	assert.equal(targetOf(place(mediumRequest('q1'))), 'waiting');
	await advanceTo(300);
	assert.equal(decisions.length, 0);
	engines[0] = limitedEngine('e1', 0);
	await advanceTo(350);
	assert.equal(targetOf(decisions[0].decision), 'e1');
});

test('refuses a generation at once whose turn comes too late, and says when it would come', () => {
	const {place} = start([limitedEngine('e1', 400, 60_000)]);
	assert.equal(targetOf(place(mediumRequest('q1'))), 'waiting');
	assert.deepEqual(place(longRequest('q2')), {
		outcome: 'refused',
		reason: 'the engines limit their request rate',
		retryAfterMs: 60_400,
	});
});

test('chooses no engine with a rate limit for the initial copy of a run', () => {
	const {place} = start([
		engine('e1', {capacityTokens: 40_000}),
		engine('e2', {
			capacityTokens: 60_000,
			turns: {waitMs: 0, intervalMs: 1000, isCold: false},
		}),
		engine('e3', {capacityTokens: 40_000}),
	]);
	const decision = place(longRequest('q1'));
	assert.equal(decision.outcome, 'placed');
	assert.ok(
		decision.outcome === 'placed' &&
			decision.placement.copyTargetId !== 'e2' &&
			decision.placement.copyTargetId !== undefined,
	);
});
