import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource, type ResponseHead} from '../../common/index.js';
import {fakeResponseHead, VirtualTime} from '../../experiments/fakes/index.js';
import {closedRefusal} from './closed-refusal.js';
import {createTargetStatements} from './target-statements.js';

const lastResortMs = 1000;
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
	const respond = (head: ResponseHead, agoMs = 0, targetId = 't1') => {
		statements.recordResponse(targetId, head, time.nowMs() - agoMs);
	};

	const use = (targetId = 't1') => statements.standingOf(targetId).use;
	return {time, statements, changes, details, respond, use};
}

test('a target that leaves is the last resort for a time, and then gets nothing', async () => {
	const {time, statements, changes, respond, use} = createStatements();
	respond(leaving);
	assert.deepEqual([use(), statements.isLeaving('t1')], ['last-resort', true]);
	await time.runUntil(lastResortMs - 1);
	respond(leaving);
	assert.equal(use(), 'last-resort');
	await time.runUntil(lastResortMs);
	assert.deepEqual(
		[use(), statements.standingOf('t1').waitMs],
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
	assert.deepEqual(statements.standingOf('t1'), {
		use: 'none',
		cause: 'back-off',
		waitMs: 100,
		requestsPerSecond: undefined,
	});
	await time.runUntil(3000);
	assert.equal(use(), 'normal');
	assert.equal(use('t2'), 'normal');
});

test('a later refusal replaces the time, and a response to a later request ends it', async () => {
	const {time, statements, respond, use} = createStatements();
	respond(backOff(3000));
	await time.runUntil(100);
	respond(backOff(500));
	assert.equal(statements.standingOf('t1').waitMs, 500);
	await time.runUntil(200);
	respond(plain, 150);
	assert.equal(use(), 'none');
	respond(plain, 50);
	assert.equal(use(), 'normal');
});

test('what a target has said ends with its incarnation, and late responses of that one say nothing', async () => {
	const {time, statements, changes, respond, use} = createStatements();
	respond(leaving);
	respond(backOff(3000));
	statements.forget('t1');
	assert.equal(use(), 'normal');
	assert.deepEqual(changes.slice(-2), [
		't1 leaving ends departure',
		't1 back-off ends departure',
	]);
	await time.runUntil(50);
	respond(leaving, 60);
	respond(backOff(3000), 50);
	assert.equal(use(), 'normal');
	respond(backOff(3000), 10);
	assert.equal(use(), 'none');
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
	});
	for (let index = 0; index < 5; index++) {
		respond(odd);
	}

	respond(odd, 0, 't2');
	assert.equal(use(), 'normal');
	assert.deepEqual(changes, []);
	assert.deepEqual(details, [
		't1: limit',
		't1: leaving',
		't1: back-off',
		't2: limit',
		't2: leaving',
		't2: back-off',
	]);
});

test('an engine whose load report says that it leaves is not used like others', () => {
	const {statements, changes, use} = createStatements();
	statements.recordLeavingReport('t1');
	statements.recordLeavingReport('t1');
	assert.equal(use(), 'last-resort');
	assert.deepEqual(changes, ['t1 leaving begins report']);
});

test('callers of a service without a usable target are told when the first takes requests again, and spread', () => {
	const {statements, respond} = createStatements();
	const random = new SeededRandomSource(3);
	const refusalOf = (...targetIds: string[]) =>
		closedRefusal(
			targetIds.map((targetId) => statements.standingOf(targetId)),
			random,
		);
	respond(backOff(3000), 0, 't1');
	respond(backOff(9000), 0, 't2');
	assert.equal(refusalOf(), undefined);
	assert.equal(refusalOf('t1', 't2', 't3'), undefined);
	const times = Array.from(
		{length: 50},
		() => refusalOf('t1', 't2')?.retryAfterMs ?? 0,
	);
	assert.ok(Math.min(...times) >= 3000);
	assert.ok(Math.max(...times) <= 5000);
	assert.ok(Math.max(...times) - Math.min(...times) > 1500);
});
