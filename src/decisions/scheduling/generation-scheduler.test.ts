import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry as engine,
	fakeMediumRequest as mediumRequest,
	fakePlacementRequest as longRequest,
	startTestScheduler as start,
	targetOfDecision as targetOf,
} from '../../experiments/fakes/index.js';
import type {PlacementDecision} from './types.js';

test('spreads ten generations that arrive at once evenly over the engines', () => {
	const {place} = start(
		['e1', 'e2', 'e3', 'e4', 'e5'].map((id) =>
			engine(id, {capacityTokens: 34_000}),
		),
	);
	const counts = new Map<string, number>();
	for (let index = 0; index < 10; index++) {
		const id = targetOf(place(longRequest(`q${index}`)));
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	assert.deepEqual([...counts.values()], [2, 2, 2, 2, 2]);
});

/** An engine with memory for five brief generations. */
const small = engine('e1', {capacityTokens: 19_000});

test('queues generations that exceed the memory and places them when memory is freed', async () => {
	const {place, advanceTo, decisions, scheduler} = start([small]);
	const outcomes = Array.from({length: 7}, (_, index) =>
		place(mediumRequest(`q${index}`)),
	).map(({outcome}) => outcome);
	assert.deepEqual(outcomes, [
		...Array.from({length: 5}, () => 'placed'),
		'waiting',
		'waiting',
	]);
	await advanceTo(200);
	assert.equal(decisions.length, 0);
	await advanceTo(300, ['q0']);
	assert.deepEqual(
		decisions.map(({id, decision}) => [id, targetOf(decision)]),
		[['q5', 'e1']],
	);
	assert.equal(scheduler.waitingCount, 1);
});

test('places short generations, which free memory sooner, before long ones', async () => {
	const {place, advanceTo, decisions} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	place(mediumRequest('long'));
	const shortLength = {expectedTokens: 12};
	assert.equal(place(mediumRequest('first', shortLength)).outcome, 'placed');
	assert.equal(place(mediumRequest('second', shortLength)).outcome, 'waiting');
	await advanceTo(100, ['q0']);
	assert.equal(decisions[0]?.id, 'second');
});

test('does not let short generations starve a long one until it is late', async () => {
	const {place, advanceTo, decisions} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	place(mediumRequest('long'));
	await advanceTo(1900);
	place(mediumRequest('short', {expectedTokens: 12}));
	await advanceTo(2000, ['q0']);
	assert.equal(decisions[0]?.id, 'long');
});

test('reserves scarce memory for generations that can be on time', async () => {
	const {place} = start([engine('e1'), engine('e2')]);
	for (let index = 0; index < 9; index++) {
		place(longRequest(`q${index}`, {promptTokens: 3650, expectedTokens: 50}));
	}

	const late = place(mediumRequest('late', {waitedMs: 4500}));
	assert.equal(late.outcome, 'waiting');
	const returned = place(mediumRequest('returned', {previousWaitMs: 9000}));
	assert.equal(returned.outcome, 'waiting');
	const timely = place(mediumRequest('timely'));
	assert.equal(timely.outcome, 'placed');
});

test('starts a late short generation in memory that late long ones have to leave free, since serving it late still counts', () => {
	const {place} = start([engine('e1'), engine('e2')]);
	for (let index = 0; index < 9; index++) {
		place(longRequest(`q${index}`, {promptTokens: 3650, expectedTokens: 50}));
	}

	const late = {waitedMs: 4500, promptTokens: 2550};
	assert.equal(place(mediumRequest('long', late)).outcome, 'waiting');
	const short = place(longRequest('short', {...late, expectedTokens: 8}));
	assert.ok(short.outcome === 'placed' && short.placement.isLate);
});

test('serves a more urgent generation before a less urgent one that needs less memory, though it is late', async () => {
	const {place, advanceTo, decisions} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	place(mediumRequest('calm', {priority: 2, promptTokens: 2900}));
	place(mediumRequest('urgent', {priority: 0, waitedMs: 4500}));
	await advanceTo(100, ['q0']);
	assert.deepEqual(
		decisions.map(({id}) => id),
		['urgent'],
	);
});

test('refuses a queued generation as soon as it is unlikely to be served, with a retry time within the time of the caller', async () => {
	const {place, advanceTo, decisions} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	place(mediumRequest('q9'));
	// It may wait for 10 s, but nothing that ends later than expected is freed in the last second of that.
	await advanceTo(6500);
	assert.equal(decisions.length, 0);
	await advanceTo(9000);
	const refused = decisions.at(0)?.decision;
	assert.ok(refused?.outcome === 'refused');
	assert.ok(refused.retryAfterMs >= 300);
	assert.ok(refused.retryAfterMs <= 39_000 / 3);
});

test('refuses a generation at once that finds no memory in time by the forecast', () => {
	const {place} = start([engine('e1')]);
	const tooLarge = place(longRequest('large', {promptTokens: 25_000}));
	assert.equal(tooLarge.outcome, 'refused');
	for (let index = 0; index < 4; index++) {
		place(longRequest(`q${index}`, {expectedTokens: 1700}));
	}

	const last = place(longRequest('q9', {expectedTokens: 1700}));
	assert.equal(last.outcome, 'refused');
});

test('refuses generations of a service without usable engines instead of queueing them', () => {
	const {place} = start([]);
	assert.equal(place(longRequest('q1')).outcome, 'refused');
	const avoided = start([engine('e1')]);
	assert.equal(
		avoided.place(longRequest('q1', {excludedTargetIds: ['e1']})).outcome,
		'refused',
	);
});

test('repeats the placement when a request is sent again, so that a lost response does not take memory twice', () => {
	const {place, registry, scheduler} = start([engine('e1'), engine('e2')]);
	const first = targetOf(place(longRequest('q1')));
	const again = targetOf(scheduler.place('vm-1', longRequest('q1')));
	assert.equal(again, first);
	assert.equal(
		registry.usageOf('e1').runCount + registry.usageOf('e2').runCount,
		1,
	);
});

test('releases the memory of a withdrawn request', () => {
	const {registry, scheduler} = start([engine('e1')]);
	scheduler.place('vm-1', longRequest('q1'));
	assert.equal(registry.usageOf('e1').runCount, 1);
	scheduler.cancel('vm-1', 'q1');
	assert.equal(registry.usageOf('e1').runCount, 0);
});

test('refuses to copy a run of a leaving engine once the other engine is filled to the evacuation limit', () => {
	const {place} = start([engine('e1'), engine('e2')]);
	for (let index = 0; index < 7; index++) {
		place(longRequest(`q${index}`));
	}

	const copy = (id: string) =>
		targetOf(
			place(
				longRequest(id, {
					purpose: 'copy',
					doneTokens: 200,
					expectedTokens: 500,
					excludedTargetIds: ['e1'],
				}),
			),
		);
	assert.equal(copy('c1'), 'e2');
	assert.equal(copy('c2'), 'refused');
});

test('a copy made as a precaution takes no more than the free memory of an engine, unlike one of a leaving engine', () => {
	const copyTo = (isPrecaution: boolean) => {
		const {place} = start([engine('e1', {capacityTokens: 20_000})]);
		const request = {purpose: 'copy', expectedTokens: 500} as const;
		for (let index = 0; index < 5; index++) {
			place(longRequest(`c${index}`, {...request, isPrecaution: true}));
		}

		return targetOf(place(longRequest('c9', {...request, isPrecaution})));
	};

	assert.deepEqual([copyTo(true), copyTo(false)], ['refused', 'e1']);
});

test('gives long runs a copy from the start while there is memory to spare', () => {
	const {place} = start(
		['e1', 'e2', 'e3'].map((id) => engine(id, {capacityTokens: 21_000})),
	);
	let last: PlacementDecision = place(longRequest('q0'));
	assert.ok(last.outcome === 'placed' && last.placement.copyTargetId);
	for (let index = 1; index < 7; index++) {
		last = place(longRequest(`q${index}`));
	}

	assert.ok(last.outcome === 'placed');
	assert.equal(last.placement.copyTargetId, undefined);
	const short = start([engine('e1'), engine('e2')]).place(
		longRequest('q1', {expectedTokens: 12}),
	);
	assert.ok(short.outcome === 'placed' && !short.placement.copyTargetId);
});

test('avoids an engine that has turned slow while others have room', async () => {
	const {place, registry, time} = start([engine('e1'), engine('e2')]);
	const slow = {
		id: 's1',
		targetId: 'e1',
		copyTargetId: undefined,
		promptTokens: 100,
		remainingTokens: 600,
		account: '',
		priority: 0,
	};
	for (const [atMs, doneTokens] of [
		[1000, 20],
		[2000, 52],
		[3000, 84],
	] as const) {
		await time.runUntil(atMs);
		registry.replaceRuns('vm-2', [{...slow, doneTokens}]);
	}

	assert.equal(targetOf(place(longRequest('q1'))), 'e2');
	assert.equal(targetOf(place(longRequest('q2'))), 'e2');
});

test('prefers a loaded engine to an outlier, and uses the outlier if it is the only engine', () => {
	const engines = [engine('e1', {isOutlier: true}), engine('e2')];
	const {place} = start(engines);
	place(longRequest('q1'));
	assert.equal(targetOf(place(longRequest('q2'))), 'e2');
	assert.equal(targetOf(start([engines[0]]).place(longRequest('q1'))), 'e1');
});

test('refuses a generation as soon as it can no longer end before the deadline of its caller', async () => {
	const {place, advanceTo, decisions, scheduler} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(mediumRequest(`q${index}`));
	}

	// The running generations free memory after seven seconds, and this one needs time itself.
	assert.equal(
		place(mediumRequest('late', {remainingMs: 5000})).outcome,
		'refused',
	);
	// One that another coordinator had queued before its loss is judged as a queued one.
	assert.equal(
		place(mediumRequest('queued', {remainingMs: 5000, waitedMs: 500})).outcome,
		'waiting',
	);
	scheduler.cancel('vm-1', 'queued');
	assert.equal(
		place(mediumRequest('later', {remainingMs: 12_000})).outcome,
		'waiting',
	);
	await advanceTo(5000);
	assert.equal(decisions.length, 0);
	await advanceTo(9000);
	assert.deepEqual(
		decisions.map(({id, decision}) => [id, decision.outcome]),
		[['later', 'refused']],
	);
});
