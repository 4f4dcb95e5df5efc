import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exploreEras} from './era-explorer.js';
import type {EraScenario} from './era-scenarios.js';

/**
 * Adds a test for each scenario. It fails if some order of reads, relayed changes and beacons lets the older copy
 * undo what a VM knew, or leaves a VM behind for good.
 */
export function exploreInTests(scenarios: readonly EraScenario[]): void {
	for (const scenario of scenarios) {
		void test(`in no order does the return from an older copy that lacks ${scenario.name} undo it on a VM`, async (context) => {
			const {stateCount, endCount, violation} = await exploreEras(scenario);
			context.diagnostic(`${stateCount} states, ${endCount} ends`);
			assert.equal(violation, undefined);
			assert.ok(endCount > 0);
		});
	}
}
