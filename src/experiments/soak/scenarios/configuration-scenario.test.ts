import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConfigurationCheck} from '../../../decisions/configuration/index.js';
import {ConfigurationScenario} from './configuration-scenario.js';
import {findViolation} from './find-violation.js';

const maxRuns = 400;

const plantedFaults: readonly ConfigurationCheck[] = [
	'version-only-rises',
	'change-id',
	'head-version',
	'table-confirms',
];

for (const check of plantedFaults) {
	// Randomized runs that never need a check would not detect its loss in the decision code.
	test(`the scenario detects that the configuration code omits the check "${check}"`, async (t) => {
		const found = await findViolation(
			new ConfigurationScenario(new Set([check])),
			'configuration',
			maxRuns,
		);
		assert.ok(found, `no violation of configuration in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}
