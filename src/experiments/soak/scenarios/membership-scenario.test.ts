import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createInvariantMonitor,
	type InvariantName,
	SeededRandomSource,
} from '../../../common/index.js';
import {
	type MembershipRules,
	membershipRules,
} from '../../../decisions/membership/index.js';
import {VirtualTime} from '../../fakes/index.js';
import {MembershipScenario} from './membership-scenario.js';

const maxSeed = 30;
const seedsWithoutFault = 4;

/**
 * Runs the scenario with consecutive seeds.
 * @param expected - invariant whose violation ends the runs; without it, only a few seeds are run
 * @returns names of the violated invariants
 */
async function findViolatedInvariants(
	rules: MembershipRules,
	expected?: InvariantName,
): Promise<Set<InvariantName>> {
	const violated = new Set<InvariantName>();
	for (let seed = 1; seed <= (expected ? maxSeed : seedsWithoutFault); seed++) {
		const scenario = new MembershipScenario(rules);
		const [plan] = fc.sample(scenario.plans, {seed, numRuns: 1});
		const invariants = createInvariantMonitor();
		const ignore = () => undefined;
		await scenario.execute(plan, {
			time: new VirtualTime(),
			random: new SeededRandomSource(seed),
			invariants,
			countFault: ignore,
			countRequests: ignore,
			countBookings: ignore,
			trace: ignore,
		});
		for (const {name} of invariants.violations) {
			violated.add(name);
		}

		if (expected && violated.has(expected)) {
			break;
		}
	}

	return violated;
}

const faults: ReadonlyArray<{
	readonly title: string;
	readonly rules: Partial<MembershipRules>;
	readonly invariant: InvariantName;
}> = [
	{
		title: "a peer's older usage report overwrites a newer one",
		rules: {isNewer: (one, other) => one.counter !== other.counter},
		invariant: 'contract-floor',
	},
	{
		title: 'entries of leaving targets are not propagated',
		rules: {
			mayPropagateTo: (entry, closeness) =>
				entry.kind !== 'leaving' &&
				membershipRules.mayPropagateTo(entry, closeness),
		},
		invariant: 'leaving-target',
	},
	{
		title: 'the usage of a silent peer is not extrapolated for the ceiling',
		rules: {extrapolateTokens: () => 0},
		invariant: 'contract-floor',
	},
	{
		title: 'the incarnation of a process is ignored',
		rules: {
			isNewer: (one, other) => one.counter > other.counter,
			compareIncarnations: () => 0,
		},
		invariant: 'contract-floor',
	},
];

// The runs could otherwise pass although the membership code is faulty.
for (const {title, rules, invariant} of faults) {
	test(`the scenario detects that ${title}`, async () => {
		const violated = await findViolatedInvariants(
			{...membershipRules, ...rules},
			invariant,
		);
		assert.equal(violated.has(invariant), true);
	});
}

// Plans that violate invariants without a planted fault would make the tests above pass by mistake.
test('the first of these plans violate no invariant without a planted fault', async () => {
	const violated = await findViolatedInvariants(membershipRules);
	assert.deepEqual([...violated], []);
});
