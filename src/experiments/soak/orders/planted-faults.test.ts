import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSoakReport, runScenario} from '../soak-runner.js';
import {OrderScenario} from '../scenarios/order-scenario.js';
import {plantedFaults} from './planted-faults.js';

const maxRuns = 150;

for (const [name, planted] of Object.entries(plantedFaults)) {
	// Guards against randomised runs that would not notice the fault.
	test(`the runs catch: ${name}`, async (context) => {
		const report = createSoakReport();
		for (let seed = 1; seed <= maxRuns; seed++) {
			await runScenario(new OrderScenario(planted), seed, report, {
				shrink: false,
			});
			if (report.violations > 0) {
				context.diagnostic(`run ${seed}: ${report.failures[0].violations[0]}`);
				return;
			}
		}

		assert.fail(`${maxRuns} runs noticed nothing`);
	});
}
