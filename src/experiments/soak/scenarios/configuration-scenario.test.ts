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
	// Guards against randomized runs that would pass without this check in the decision code.
	test(`the runs notice that the configuration lacks the check "${check}"`, async (t) => {
		const found = await findViolation(
			new ConfigurationScenario(new Set([check])),
			'configuration',
			maxRuns,
		);
		assert.ok(found, `configuration held in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}
