import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCallObserver} from './call-observer.js';

const target = {id: 's1', service: 'desk'};

test('reports a call that hangs before its time limit, and only once', async () => {
	const time = new VirtualTime();
	const observer = createCallObserver(time);
	const call = observer.observe(target, true, false);
	await time.runUntil(149);
	observer.check();
	assert.equal(observer.isUrgent, false);
	await time.runUntil(150);
	observer.check();
	assert.equal(observer.isUrgent, true);
	assert.equal(observer.takeReport()?.totals[0].failures, 1);
	await time.runUntil(1000);
	observer.check();
	call.recordOutcome(false, 1000);
	assert.equal(observer.takeReport()?.totals[0].failures, 1);
});

test('a slow answer takes back that its call was overdue', async () => {
	const time = new VirtualTime();
	const observer = createCallObserver(time);
	const call = observer.observe(target, false, true);
	await time.runUntil(200);
	observer.check();
	call.dispose();
	call.recordOutcome(true, 300);
	const [totals] = observer.takeReport()?.totals ?? [];
	assert.deepEqual(
		[
			totals.answers,
			totals.failures,
			totals.trialAnswers,
			totals.trialFailures,
		],
		[1, 0, 1, 0],
	);
});

test('calls to a service that always takes long are not overdue', async () => {
	const time = new VirtualTime();
	const observer = createCallObserver(time);
	observer.observe(target, false, false).recordOutcome(true, 100);
	observer.takeReport();
	observer.observe(target, false, false);
	await time.runUntil(500);
	observer.check();
	assert.equal(observer.isUrgent, false);
	await time.runUntil(600);
	observer.check();
	assert.equal(observer.isUrgent, true);
});

test('a call whose caller has left says nothing of its target', async () => {
	const time = new VirtualTime();
	const observer = createCallObserver(time);
	observer.observe(target, true, false).dispose();
	await time.runUntil(500);
	observer.check();
	assert.equal(observer.takeReport(), undefined);
});
