import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSoakReport, runScenario} from '../soak-runner.js';
import {OrderScenario} from './order-scenario.js';

const runs = 40;

// Guards against leases or commands that stay stuck for good after faults have passed, which no
// check of order-fencing notices: it happened when two unloads of one model ended at once.
test('after a quiet time every lease has a holder and no command is in flight', async () => {
	const report = createSoakReport();
	for (let seed = 1; seed <= runs; seed++) {
		const scenario = new OrderScenario();
		await runScenario(scenario, seed, report);
		assert.ok(scenario.lastWorld!.isSettled(), `seed ${seed} is not settled`);
	}

	assert.deepEqual(report.failures, []);
});
