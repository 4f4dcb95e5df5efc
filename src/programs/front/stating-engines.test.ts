import assert from 'node:assert/strict';
import {suite, test, type TestContext} from 'node:test';
import {
	backOffMs,
	countAfterLeaving,
	durationP95Ms,
	mostDuringBackOff,
	returnsAfterBackOff,
	servedFraction,
	startStatingTargets,
} from './testing/index.js';

/** Requests that may reach a target while it wants none. */
const maxDuringBackOff = 2;
const minServedFraction = 0.98;
const maxRefusalP95Ms = 150;
const warmUpMs = 1000;
const scenarioMs = 5000;

const leaving = {isRefusing: false, lines: ['Server-Leaving: 1']};
const backingOff = {
	isRefusing: true,
	lines: [`Retry-After: ${backOffMs / 1000}`],
};

/** Starts four VMs in front of the targets, and sends them requests before a target says anything. */
async function start(
	context: TestContext,
	scenario: number,
	hasFreeTarget = true,
) {
	const targets = await startStatingTargets({
		context,
		vmIps: [1, 2, 3, 4].map((vm) => `127.0.${scenario}.${vm}`),
		kind: 'stream',
		hasFreeTarget,
	});
	await targets.sendFor(warmUpMs);
	return targets;
}

suite(
	'what targets say of themselves holds for streams',
	{concurrency: true},
	() => {
		test('a target that says that it leaves gets no stream later than the time for leaving targets, also while the store is down', async (context) => {
			const targets = await start(context, 40);
			targets.state(leaving);
			targets.store.respondWith(503);
			const requests = await targets.sendFor(scenarioMs);
			assert.ok(targets.arrivals.some(({isStated}) => isStated));
			assert.equal(countAfterLeaving(targets.arrivals), 0);
			assert.ok(servedFraction(requests) >= minServedFraction);
		});

		test('a target that turns streams away for a time is left alone, and a free one serves them', async (context) => {
			const targets = await start(context, 41);
			targets.state(backingOff);
			const requests = await targets.sendFor(scenarioMs);
			assert.ok(targets.arrivals.some(({isStated}) => isStated));
			const most = mostDuringBackOff(targets.arrivals);
			assert.ok(most <= maxDuringBackOff, `${most} during a back-off`);
			const served = servedFraction(requests);
			assert.ok(served >= minServedFraction, `${served} were served`);
		});

		test('without another target each stream is refused at once with the time at which the target takes requests again', async (context) => {
			const targets = await start(context, 42, false);
			targets.state(backingOff);
			const requests = await targets.sendFor(scenarioMs);
			const most = mostDuringBackOff(targets.arrivals);
			assert.ok(most <= maxDuringBackOff, `${most} during a back-off`);
			const p95Ms = durationP95Ms(requests);
			assert.ok(p95Ms <= maxRefusalP95Ms, `refused after ${p95Ms} ms`);
			const returnsMs = returnsAfterBackOff(requests, targets.arrivals);
			assert.ok(returnsMs.length > 20);
			assert.ok(Math.min(...returnsMs) >= 0);
			assert.ok(Math.max(...returnsMs) - Math.min(...returnsMs) > 500);
		});
	},
);
