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
const cleanSeeds = 4;

async function brokenPromises(
	rules: MembershipRules,
	awaited?: InvariantName,
): Promise<Set<InvariantName>> {
	const broken = new Set<InvariantName>();
	for (let seed = 1; seed <= (awaited ? maxSeed : cleanSeeds); seed++) {
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
			broken.add(name);
		}

		if (awaited && broken.has(awaited)) {
			break;
		}
	}

	return broken;
}

const faults: ReadonlyArray<{
	readonly title: string;
	readonly rules: Partial<MembershipRules>;
	readonly promise: InvariantName;
}> = [
	{
		title: "a peer's older usage overwrites newer",
		rules: {isNewer: (one, other) => one.counter !== other.counter},
		promise: 'contract-floor',
	},
	{
		title: 'the mark of a leaving target is not passed on',
		rules: {
			mayPropagateTo: (entry, closeness) =>
				entry.kind !== 'leaving' &&
				membershipRules.mayPropagateTo(entry, closeness),
		},
		promise: 'leaving-target',
	},
	{
		title: 'a silent peer counts as zero for the ceiling',
		rules: {extrapolateTokens: () => 0},
		promise: 'contract-floor',
	},
	{
		title: 'the incarnation of a process is ignored',
		rules: {
			isNewer: (one, other) => one.counter > other.counter,
			compareIncarnations: () => 0,
		},
		promise: 'contract-floor',
	},
];

// Guards against runs that hold although the code under them is broken.
for (const {title, rules, promise} of faults) {
	test(`the runs notice that ${title}`, async () => {
		const broken = await brokenPromises(
			{...membershipRules, ...rules},
			promise,
		);
		assert.equal(broken.has(promise), true);
	});
}

// Guards against plans that break promises by themselves, which would hide planted faults.
test('the same plans hold without a planted fault', async () => {
	const broken = await brokenPromises(membershipRules);
	assert.deepEqual([...broken], []);
});
