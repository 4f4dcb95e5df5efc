import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	fakeEngineEntry as engine,
	fakePlacementRequest as report,
	startTestScheduler as start,
} from '../../experiments/fakes/index.js';
import type {PlacementDecision, PlacementRequest} from './types.js';

const targetOf = (answer: PlacementDecision) =>
	answer.outcome === 'placed' ? answer.placement.targetId : answer.outcome;

test('replay "ten generations in one second": no engine gets more than its share', () => {
	const {place} = start(
		['e1', 'e2', 'e3', 'e4', 'e5'].map((id) =>
			engine(id, {capacityTokens: 34_000}),
		),
	);
	const counts = new Map<string, number>();
	for (let index = 0; index < 10; index++) {
		const id = targetOf(place(report(`q${index}`)));
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	assert.deepEqual([...counts.values()], [2, 2, 2, 2, 2]);
});

/** An engine with memory for five brief reports. */
const small = engine('e1', {capacityTokens: 19_000});

/** A report that ends, and frees its memory, within the time that others may wait. */
const brief = (id: string, changes: Partial<PlacementRequest> = {}) =>
	report(id, {expectedTokens: 300, ...changes});

test('replay "more generations than memory": the rest waits, and goes when memory is freed', async () => {
	const {place, pass, answers, scheduler} = start([small]);
	const outcomes = Array.from({length: 7}, (_, index) =>
		place(brief(`q${index}`)),
	).map(({outcome}) => outcome);
	assert.deepEqual(outcomes, [
		...Array.from({length: 5}, () => 'placed'),
		'waiting',
		'waiting',
	]);
	await pass(200);
	assert.equal(answers.length, 0);
	await pass(300, ['q0']);
	assert.deepEqual(
		answers.map(({id, answer}) => [id, targetOf(answer)]),
		[['q5', 'e1']],
	);
	assert.equal(scheduler.waitingCount, 1);
});

test('replay "a burst of short checks beside long reports": memory goes to what frees it soonest', async () => {
	const {place, pass, answers} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(brief(`q${index}`));
	}

	place(brief('long'));
	const check = {expectedTokens: 12};
	assert.equal(place(brief('first', check)).outcome, 'placed');
	assert.equal(place(brief('second', check)).outcome, 'waiting');
	await pass(100, ['q0']);
	assert.equal(answers[0]?.id, 'second');
});

test('guards against a long generation that short ones keep waiting until it is late', async () => {
	const {place, pass, answers} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(brief(`q${index}`));
	}

	place(brief('long'));
	await pass(1900);
	place(brief('short', {expectedTokens: 12}));
	await pass(2000, ['q0']);
	assert.equal(answers[0]?.id, 'long');
});

test('replay "overload lasts": late generations leave memory to those that can be on time', async () => {
	const {place} = start([engine('e1'), engine('e2')]);
	for (let index = 0; index < 8; index++) {
		place(report(`q${index}`, {promptTokens: 3650, expectedTokens: 50}));
	}

	const late = place(brief('late', {waitedMs: 4500}));
	assert.equal(late.outcome, 'waiting');
	const returned = place(brief('returned', {previousWaitMs: 9000}));
	assert.equal(returned.outcome, 'waiting');
	const timely = place(brief('timely'));
	assert.equal(timely.outcome, 'placed');
});

test('guards against holding a generation until its caller gives up, and against advice it cannot follow', async () => {
	const {place, pass, answers} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(brief(`q${index}`));
	}

	place(brief('q9'));
	await pass(9900);
	assert.equal(answers.length, 0);
	await pass(10_100);
	const refused = answers.at(0)?.answer;
	assert.ok(refused?.outcome === 'refused');
	assert.ok(refused.retryAfterMs >= 300);
	assert.ok(refused.retryAfterMs <= 39_000 / 3);
});

test('guards against holding a generation that by the forecast finds no memory in time', () => {
	const {place} = start([engine('e1')]);
	const tooLarge = place(report('large', {promptTokens: 25_000}));
	assert.equal(tooLarge.outcome, 'refused');
	for (let index = 0; index < 4; index++) {
		place(report(`q${index}`, {expectedTokens: 1700}));
	}

	const last = place(report('q9', {expectedTokens: 1700}));
	assert.equal(last.outcome, 'refused');
});

test('guards against a service without engines that keeps its callers waiting', () => {
	const {place} = start([]);
	assert.equal(place(report('q1')).outcome, 'refused');
	const avoided = start([engine('e1')]);
	assert.equal(
		avoided.place(report('q1', {excludedTargetIds: ['e1']})).outcome,
		'refused',
	);
});

test('guards against a demand that is placed twice because its answer was lost', () => {
	const {place, book, scheduler} = start([engine('e1'), engine('e2')]);
	const first = targetOf(place(report('q1')));
	const again = targetOf(scheduler.place('vm-1', report('q1')));
	assert.equal(again, first);
	assert.equal(book.usageOf('e1').runCount + book.usageOf('e2').runCount, 1);
});

test('guards against memory that stays taken for a demand that is of no use', () => {
	const {book, scheduler} = start([engine('e1')]);
	scheduler.place('vm-1', report('q1'));
	assert.equal(book.usageOf('e1').runCount, 1);
	scheduler.cancel('vm-1', 'q1');
	assert.equal(book.usageOf('e1').runCount, 0);
});

test('replay "an engine leaves with its runs": each goes where it fits, and none displaces another', () => {
	const {place} = start([engine('e1'), engine('e2')]);
	for (let index = 0; index < 7; index++) {
		place(report(`q${index}`));
	}

	const copy = (id: string) =>
		targetOf(
			place(
				report(id, {
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

test('replay "engines with memory to spare": runs get a copy from the start, and not once memory is short', () => {
	const {place} = start(
		['e1', 'e2', 'e3'].map((id) => engine(id, {capacityTokens: 21_000})),
	);
	let last: PlacementDecision = place(report('q0'));
	assert.ok(last.outcome === 'placed' && last.placement.copyTargetId);
	for (let index = 1; index < 7; index++) {
		last = place(report(`q${index}`));
	}

	assert.ok(last.outcome === 'placed');
	assert.equal(last.placement.copyTargetId, undefined);
	const short = start([engine('e1'), engine('e2')]).place(
		report('q1', {expectedTokens: 12}),
	);
	assert.ok(short.outcome === 'placed' && !short.placement.copyTargetId);
});

test('replay "an engine turns slow": generations go elsewhere while others have room', async () => {
	const {place, book, time} = start([engine('e1'), engine('e2')]);
	const slow = {
		id: 's1',
		targetId: 'e1',
		copyTargetId: undefined,
		promptTokens: 100,
		remainingTokens: 600,
		priority: 0,
	};
	for (const [atMs, doneTokens] of [
		[1000, 20],
		[2000, 52],
		[3000, 84],
	] as const) {
		await time.runUntil(atMs);
		book.replaceRuns('vm-2', [{...slow, doneTokens}]);
	}

	assert.equal(targetOf(place(report('q1'))), 'e2');
	assert.equal(targetOf(place(report('q2'))), 'e2');
});

test('guards against an engine that failed of late being chosen before a loaded one', () => {
	const engines = [engine('e1', {isOutlier: true}), engine('e2')];
	const {place} = start(engines);
	place(report('q1'));
	assert.equal(targetOf(place(report('q2'))), 'e2');
	assert.equal(targetOf(start([engines[0]]).place(report('q1'))), 'e1');
});

test("guards against holding a generation to its caller's time limit, when nothing can come of it any more", async () => {
	const {place, pass, answers} = start([small]);
	for (let index = 0; index < 5; index++) {
		place(brief(`q${index}`));
	}

	// The runs under way free memory after seven seconds, and this one takes some itself.
	assert.equal(place(brief('late', {remainingMs: 5000})).outcome, 'refused');
	assert.equal(place(brief('later', {remainingMs: 12_000})).outcome, 'waiting');
	await pass(5000);
	assert.equal(answers.length, 0);
	await pass(9000);
	assert.deepEqual(
		answers.map(({id, answer}) => [id, answer.outcome]),
		[['later', 'refused']],
	);
});
