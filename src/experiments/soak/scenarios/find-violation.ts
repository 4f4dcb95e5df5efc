import fc from 'fast-check';
import {
	createInvariantMonitor,
	type InvariantName,
	SeededRandomSource,
} from '../../../common/index.js';
import {VirtualTime} from '../../fakes/index.js';
import type {SoakScenario} from '../soak-scenario.js';

/** First run in which an invariant was violated. */
export type FoundViolation = {
	readonly seed: number;
	readonly detail: string;
};

/**
 * Runs a scenario with seeds from 1 upwards until the invariant is violated. Tests use it to show that the
 * scenario detects a check that is left out of the decision code.
 * @param name - invariant that must be violated; violations of others are ignored
 * @param maxRuns - number of seeds to try
 * @returns the violation, or `undefined` if no run had one
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
