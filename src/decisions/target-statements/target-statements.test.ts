import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type ResponseHead,
	SeededRandomSource,
	type TargetIdentity,
} from '../../common/index.js';
import {
	fakeResponseHead,
	fakeTargetEntry,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {closedRefusal} from './closed-refusal.js';
import {createTargetStatements} from './target-statements.js';

const lastResortMs = 1000;
const first = {...fakeTargetEntry('t1'), bornMs: 1000};
const second = {...fakeTargetEntry('t2'), bornMs: 1000};
const plain = fakeResponseHead('q1');
const leaving = fakeResponseHead('q1', {leaving: {state: 'leaving'}});
const backOff = (durationMs: number) =>
	fakeResponseHead('q1', {
		status: 503,
		isFromTarget: false,
		notExecuted: true,
		backOff: {state: 'backing-off', durationMs},
	});

function createStatements() {
	const time = new VirtualTime();
	const statements = createTargetStatements({
		clock: time,
		lastResortMs: () => lastResortMs,
	});
	const changes: string[] = [];
	statements.onChanged(({targetId, kind, change, source}) => {
		changes.push(`${targetId} ${kind} ${change} ${source}`);
	});
	const details: string[] = [];
	statements.onMalformed(({targetId, detail}) => {
		details.push(`${targetId}: ${detail}`);
	});
	/** Records a response to a request that was sent some time ago. */
	const respond = (head: ResponseHead, agoMs = 0, target = first) => {
		statements.recordResponse(target, head, time.nowMs() - agoMs);
	};

	const use = (target = first) => statements.standingOf(target).use;
	return {time, statements, changes, details, respond, use};
}

test('a target that leaves is the last resort for a time, and then gets nothing', async () => {
	const {time, statements, changes, respond, use} = createStatements();
	respond(leaving);
	assert.deepEqual([use(), statements.isLeaving(first)], ['last-resort', true]);
	await time.runUntil(lastResortMs - 1);
	respond(leaving);
	assert.equal(use(), 'last-resort');
	await time.runUntil(lastResortMs);
	assert.deepEqual(
		[use(), statements.standingOf(first).waitMs],
		['none', Infinity],
	);
	assert.deepEqual(changes, ['t1 leaving begins response']);
});

test('only a response to a later request shows that a target does not leave any more', async () => {
	const {time, changes, respond, use} = createStatements();
	await time.runUntil(100);
	respond(leaving, 20);
	await time.runUntil(150);
	respond(plain, 60);
	assert.equal(use(), 'last-resort');
	respond({...plain, isFromTarget: false}, 10);
	assert.equal(use(), 'last-resort');
	respond(plain, 10);
	assert.equal(use(), 'normal');
	assert.equal(changes.at(-1), 't1 leaving ends response');
});

test('a target that wants no requests for a time gets none until it is over', async () => {
	const {time, statements, respond, use} = createStatements();
	respond(backOff(3000));
	await time.runUntil(2900);
	assert.deepEqual(statements.standingOf(first), {
		use: 'none',
		cause: 'back-off',
		waitMs: 100,
		requestsPerSecond: undefined,
	});
	await time.runUntil(3000);
	assert.equal(use(), 'normal');
	assert.equal(use(second), 'normal');
});

test('a later refusal replaces the time, and a response to a later request ends it', async () => {
	const {time, statements, respond, use} = createStatements();
	respond(backOff(3000));
	await time.runUntil(100);
	respond(backOff(500));
	assert.equal(statements.standingOf(first).waitMs, 500);
	await time.runUntil(200);
	respond(plain, 150);
	assert.equal(use(), 'none');
	respond(plain, 50);
	assert.equal(use(), 'normal');
});

test('what a target has said ends with its incarnation, and late responses of that one say nothing', async () => {
	const {time, statements, respond, use} = createStatements();
	const restarted = {...first, bornMs: 2000};
	respond(leaving);
	respond(backOff(3000));
	statements.recordDeparture(first);
	assert.equal(use(restarted), 'normal');
	await time.runUntil(50);
	respond(leaving, 60);
	assert.equal(use(restarted), 'normal');
	respond(backOff(3000), 10, restarted);
	assert.equal(use(restarted), 'none');
});

test('a leaving target whose entry is removed and comes back is not used again', async () => {
	const {time, statements, respond, use} = createStatements();
	respond(leaving);
	statements.recordDeparture(first);
	await time.runUntil(5000);
	statements.recordArrival(first);
	await time.runUntil(70_000);
	statements.sweep();
	assert.equal(use(), 'none');
	statements.recordDeparture(first);
	await time.runUntil(140_000);
	statements.sweep();
	assert.equal(use(), 'normal');
});

test('the response of another target at the address says nothing', () => {
	const {respond, use} = createStatements();
	respond({...leaving, status: 421});
	assert.equal(use(), 'normal');
});

test('a statement that cannot be read is reported once for each target, and changes nothing', () => {
	const {respond, use, details, changes} = createStatements();
	const state = 'malformed' as const;
	const odd = fakeResponseHead('q1', {
		status: 503,
		leaving: {state, detail: 'leaving'},
		backOff: {state, detail: 'back-off'},
		rateLimit: {state, detail: 'limit'},
		cold: {state, detail: 'cold'},
	});
	for (let index = 0; index < 5; index++) {
		respond(odd);
	}

	respond(odd, 0, second);
	assert.equal(use(), 'normal');
	assert.deepEqual(changes, []);
	assert.deepEqual(details, [
		't1: limit',
		't1: cold',
		't1: leaving',
		't1: back-off',
		't2: limit',
		't2: cold',
		't2: leaving',
		't2: back-off',
	]);
});

test('an engine whose load report says that it leaves is not used like others', () => {
	const {statements, changes, use} = createStatements();
	statements.recordLeavingReport(first);
	statements.recordLeavingReport(first);
	assert.equal(use(), 'last-resort');
	assert.deepEqual(changes, ['t1 leaving begins report']);
});

test('callers of a service without a usable target are told when the first takes requests again, and spread', () => {
	const {statements, respond} = createStatements();
	const random = new SeededRandomSource(3);
	const refusalOf = (...targets: TargetIdentity[]) =>
		closedRefusal(
			targets.map((target) => statements.standingOf(target)),
			random,
		);
	respond(backOff(3000));
	respond(backOff(9000), 0, second);
	assert.equal(refusalOf(), undefined);
	assert.equal(refusalOf(first, second, fakeTargetEntry('t3')), undefined);
	const times = Array.from(
		{length: 50},
		() => refusalOf(first, second)?.retryAfterMs ?? 0,
	);
	assert.ok(Math.min(...times) >= 3000);
	assert.ok(Math.max(...times) <= 5000);
	assert.ok(Math.max(...times) - Math.min(...times) > 1500);
});
