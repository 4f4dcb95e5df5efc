import fc from 'fast-check';
import {
	createInvariantMonitor,
	type InvariantName,
	SeededRandomSource,
} from '../../../common/index.js';
import {VirtualTime} from '../../fakes/index.js';
import type {SoakScenario} from '../soak-scenario.js';

/** The first run in which a scenario saw a violation. */
export type FoundViolation = {
	readonly seed: number;
	readonly detail: string;
};

/**
 * Runs a scenario with one seed after the other until the invariant is violated. Used with decision
 * code from which a check was left out, to show that the scenario notices.
 */
export async function findViolation<Plan>(
	scenario: SoakScenario<Plan>,
	name: InvariantName,
	maxRuns: number,
): Promise<FoundViolation | undefined> {
	for (let seed = 1; seed <= maxRuns; seed++) {
		const invariants = createInvariantMonitor();
		const [plan] = fc.sample(scenario.plans, {seed, numRuns: 1});
		await scenario.execute(plan, {
			time: new VirtualTime(),
			random: new SeededRandomSource(seed),
			invariants,
			countFault: () => undefined,
			countRequests: () => undefined,
			countBookings: () => undefined,
			trace: () => undefined,
		});
		const violation = invariants.violations.find((one) => one.name === name);
		if (violation) {
			return {seed, detail: violation.detail};
		}
	}

	return undefined;
}
