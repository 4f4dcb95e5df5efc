import assert from 'node:assert/strict';
import {suite, test, type TestContext} from 'node:test';
import {
	durationP95Ms,
	servedFraction,
	startStatingTargets,
} from './testing/index.js';

const minServedFraction = 0.98;
const maxRefusalP95Ms = 150;
const warmUpMs = 600;
const scenarioMs = 1500;
/** Time for what is on its way to a target when the evacuation begins, in milliseconds. */
const underWayMs = 50;

/** Starts two VMs in front of a target in their own zone and a second one elsewhere, and sends them requests. */
async function start(
	context: TestContext,
	scenario: number,
	kind: 'call' | 'stream',
) {
	const targets = await startStatingTargets({
		context,
		vmIps: [1, 2].map((vm) => `127.0.${scenario}.${vm}`),
		kind,
		hasFreeTarget: true,
		freeZone: 'zone-2',
	});
	await targets.sendFor(warmUpMs);
	return targets;
}

suite(
	'an evacuated availability zone gets nothing',
	{concurrency: true},
	() => {
		for (const [kind, scenario] of [
			['call', 50],
			['stream', 51],
		] as const) {
			test(`no ${kind} reaches a target in an evacuated zone, the other zone serves all, and without one each is refused at once`, async (context) => {
				const targets = await start(context, scenario, kind);
				assert.ok(targets.arrivals.length > 0, 'the own zone is preferred');
				targets.evacuate('zone-1');
				const evacuatedMs = performance.now();
				const requests = await targets.sendFor(scenarioMs);
				const late = () =>
					targets.arrivals.filter(({atMs}) => atMs > evacuatedMs + underWayMs);
				assert.deepEqual(late(), []);
				const served = servedFraction(requests);
				assert.ok(served >= minServedFraction, `${served} were served`);

				targets.evacuate('zone-1', 'zone-2');
				const refused = await targets.sendFor(scenarioMs);
				assert.deepEqual(late(), []);
				for (const {response} of refused) {
					assert.equal(response.status, 503);
					assert.ok(Number(response.headers['retry-after']) > 0);
				}

				const p95Ms = durationP95Ms(refused);
				assert.ok(p95Ms <= maxRefusalP95Ms, `refused after ${p95Ms} ms`);
			});
		}
	},
);
