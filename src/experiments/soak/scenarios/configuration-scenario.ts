import fc from 'fast-check';
import {toProblem} from '../../../common/index.js';
import {
	createConfigurationFollower,
	createConfigurationStore,
} from '../../../decisions/configuration/index.js';
import {FakeTableService} from '../../fakes/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';

type Step =
	| {readonly kind: 'change'; readonly operator: number; readonly value: number}
	| {readonly kind: 'poll'; readonly vm: number}
	| {readonly kind: 'peer'; readonly from: number; readonly to: number}
	| {readonly kind: 'restart'; readonly vm: number}
	| {readonly kind: 'outage'; readonly lengthMs: number}
	| {readonly kind: 'lost-answer'};

const vmCount = 3;
const runLimitMs = 60_000;
const settingKey = 'contract.floorTokensPerMinute';

/** Operators race, VMs poll, gossip and restart; no VM goes back to an older version. */
export class ConfigurationScenario extends SoakScenario<readonly Step[]> {
	override readonly name = 'configuration';
	override readonly plans = fc.array(
		fc.oneof(
			fc.record({
				kind: fc.constant('change' as const),
				operator: fc.nat(1),
				value: fc.nat(1000),
			}),
			fc.record({kind: fc.constant('poll' as const), vm: fc.nat(vmCount - 1)}),
			fc.record({
				kind: fc.constant('peer' as const),
				from: fc.nat(vmCount - 1),
				to: fc.nat(vmCount - 1),
			}),
			fc.record({
				kind: fc.constant('restart' as const),
				vm: fc.nat(vmCount - 1),
			}),
			fc.record({
				kind: fc.constant('outage' as const),
				lengthMs: fc.integer({min: 1, max: 60}),
			}),
			fc.record({kind: fc.constant('lost-answer' as const)}),
		),
		{minLength: 20, maxLength: 80},
	);

	override async execute(
		plan: readonly Step[],
		context: SoakContext,
	): Promise<void> {
		const done = runPlan(plan, context);
		await context.time.runUntil(runLimitMs);
		await done;
	}
}

async function runPlan(
	plan: readonly Step[],
	context: SoakContext,
): Promise<void> {
	const {invariants} = context;
	const table = new FakeTableService(context.time, {
		latencyMs: 4,
		timeoutMs: 100,
	});
	const store = createConfigurationStore(table);
	const followers = Array.from({length: vmCount}, () =>
		createConfigurationFollower(),
	);
	const highest = Array.from({length: vmCount}, () => 0);
	const bases = [0, 0];
	let accepted = 0;
	let changeCount = 0;

	const observe = (vm: number) => {
		const follower = followers[vm];
		if (follower.confirmed) {
			const {version} = follower.current;
			invariants.check(
				'configuration',
				version >= highest[vm],
				() => `VM ${vm} went from version ${highest[vm]} to ${version}`,
			);
			highest[vm] = Math.max(highest[vm], version);
		}
	};

	const change = async (operator: number, value: number) => {
		context.countRequests();
		try {
			const result = await store.commit({
				baseVersion: bases[operator],
				changeId: `change-${changeCount++}`,
				author: `operator-${operator}`,
				atWallMs: context.time.wallMs(),
				edits: [{op: 'set', key: settingKey, value}],
			});
			accepted = Math.max(accepted, result.version);
			bases[operator] = result.version;
		} catch (error) {
			const problem = toProblem(error);
			context.trace(`change by operator ${operator}: ${problem.type}`);
			if (problem.type === 'configuration-conflict') {
				context.fault('operators-race');
				invariants.check(
					'configuration',
					problem.details?.otherChange !== undefined,
					() => 'a conflict does not show the other change',
				);
				bases[operator]++;
			}
		}
	};

	const poll = async (vm: number) => {
		const follower = followers[vm];
		try {
			follower.offer(
				await store.changesAfter(follower.current.version),
				'table',
			);
		} catch (error) {
			context.trace(`poll by VM ${vm}: ${toProblem(error).type}`);
		}
	};

	for (const step of plan) {
		switch (step.kind) {
			case 'change': {
				await change(step.operator, step.value);
				break;
			}

			case 'poll': {
				await poll(step.vm);
				break;
			}

			case 'peer': {
				const {version} = followers[step.to].current;
				followers[step.to].offer(
					followers[step.from].changesAfter(version),
					'peer',
				);
				break;
			}

			case 'restart': {
				context.fault('entry-killed');
				followers[step.vm] = createConfigurationFollower();
				break;
			}

			case 'outage': {
				context.fault('table-down');
				table.planPeriod({
					kind: 'refuse',
					fromMs: context.time.nowMs(),
					untilMs: context.time.nowMs() + step.lengthMs,
				});
				break;
			}

			case 'lost-answer': {
				context.fault('answer-lost');
				table.planCommitFault({kind: 'answer-lost'});
				break;
			}
		}

		for (let vm = 0; vm < vmCount; vm++) {
			observe(vm);
		}
	}

	table.heal();
	const lastAccepted = accepted;
	for (let vm = 0; vm < vmCount; vm++) {
		await poll(vm);
		observe(vm);
		invariants.check(
			'configuration',
			followers[vm].current.version >= lastAccepted,
			() => `VM ${vm} lacks accepted version ${lastAccepted}`,
		);
	}
}
