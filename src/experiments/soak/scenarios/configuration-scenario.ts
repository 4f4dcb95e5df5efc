import fc from 'fast-check';
import type {ConfigurationCheck} from '../../../decisions/configuration/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';
import {ConfigurationFleet} from './configuration-fleet.js';
import {
	commitFaults,
	startTableFault,
	tableFaultKinds,
	tableFaultModes,
} from './table-faults.js';

const vmCount = 4;
const operatorCount = 2;
const pollMs = 2000;

// Every accepted change must be in force on every VM within this time.
const propagationLimitMs = 11_000;
const longestFaultMs = 6000;

const vm = fc.nat(vmCount - 1);
const operator = fc.nat(operatorCount - 1);
const lengthMs = fc.integer({min: 20, max: longestFaultMs});
const fault = fc.constantFrom('crash' as const, 'pause' as const);

const steps = fc.oneof(
	{
		arbitrary: fc.record({
			kind: fc.constant('change' as const),
			operator,
			value: fc.integer({min: 1, max: 1000}),
		}),
		weight: 8,
	},
	{
		arbitrary: fc.record({
			kind: fc.constant('gossip' as const),
			to: vm,
		}),
		weight: 6,
	},
	fc.record({
		kind: fc.constant('process' as const),
		vm,
		stepsAhead: fc.nat(6),
		fault,
		pauseMs: lengthMs,
	}),
	fc.record({
		kind: fc.constant('operator' as const),
		operator,
		stepsAhead: fc.nat(6),
		fault,
		pauseMs: lengthMs,
	}),
	fc.record({kind: fc.constant('restart' as const), vm}),
	{
		arbitrary: fc.record({
			kind: fc.constant('commit' as const),
			fault: commitFaults,
			delayMs: fc.integer({min: 1, max: 1000}),
		}),
		weight: 3,
	},
	{
		arbitrary: fc.record({
			kind: fc.constant('table' as const),
			mode: tableFaultModes,
			lengthMs,
			extraMs: fc.integer({min: 10, max: 200}),
		}),
		weight: 2,
	},
	fc.record({kind: fc.constant('peers' as const), lengthMs}),
	fc.record({
		kind: fc.constant('corrupt' as const),
		prefix: fc.constantFrom('config/version/', 'config/snapshot/'),
		index: fc.nat(20),
		lengthMs,
	}),
);

const plans = fc.array(
	fc.record({afterMs: fc.constantFrom(0, 1, 4, 9, 30, 500, 1500), step: steps}),
	{minLength: 20, maxLength: 80},
);

type Plan = typeof plans extends fc.Arbitrary<infer T> ? T : never;
type Step = Plan[number]['step'];

/**
 * Operators make conflicting changes and retry them while VMs poll, gossip, crash and pause, writes are lost,
 * delayed or duplicated, and rows are unreadable for a while.
 */
export class ConfigurationScenario extends SoakScenario<Plan> {
	override readonly name = 'configuration';
	override readonly plans = plans;

	/** @param omittedChecks - checks left out of the configuration code; for tests only */
	constructor(
		private readonly omittedChecks?: ReadonlySet<ConfigurationCheck>,
	) {
		super();
	}

	override async execute(plan: Plan, context: SoakContext): Promise<void> {
		const {time, invariants} = context;
		const fleet = new ConfigurationFleet({
			time,
			invariants,
			vmCount,
			operatorCount,
			pollMs,
			omittedChecks: this.omittedChecks,
			onFault(kind) {
				context.countFault(kind === 'crash' ? 'entry-killed' : 'entry-paused');
			},
			onConflict() {
				context.countFault('operators-race');
			},
			trace(line) {
				context.trace(line);
			},
		});
		for (const {afterMs, step} of plan) {
			await time.runUntil(time.nowMs() + afterMs);
			executeStep(step, fleet, context);
		}

		// Waits until the last faults have ended, then for the time limit of the propagation.
		await time.runUntil(time.nowMs() + longestFaultMs);
		fleet.heal();
		await time.runUntil(time.nowMs() + propagationLimitMs);
		fleet.checker.checkHistory();
		for (let index = 0; index < vmCount; index++) {
			fleet.checker.checkCaughtUp(index, fleet.followerOf(index));
		}
	}
}

function executeStep(
	step: Step,
	fleet: ConfigurationFleet,
	context: SoakContext,
): void {
	const {time} = context;
	switch (step.kind) {
		case 'change': {
			context.countRequests();
			void fleet.commitChange(step.operator, step.value);
			break;
		}

		case 'gossip': {
			for (let from = 0; from < vmCount; from++) {
				fleet.gossip(from, step.to);
			}

			break;
		}

		case 'process':
		case 'operator': {
			const process =
				step.kind === 'process'
					? fleet.processOf(step.vm)
					: fleet.operatorProcess(step.operator);
			process.planFault({
				atStep: process.steps + step.stepsAhead,
				kind: step.fault,
				pauseMs: step.pauseMs,
			});
			break;
		}

		case 'restart': {
			fleet.processOf(step.vm).crash();
			fleet.restart(step.vm);
			break;
		}

		case 'commit': {
			context.countFault(tableFaultKinds[step.fault]);
			fleet.table.planCommitFault({kind: step.fault, delayMs: step.delayMs});
			break;
		}

		case 'table': {
			startTableFault(fleet.table, step, context);
			break;
		}

		case 'peers': {
			context.countFault('peers-cut');
			fleet.peersCut = true;
			time.after(step.lengthMs, () => {
				fleet.peersCut = false;
			});
			break;
		}

		case 'corrupt': {
			const rows = fleet.table.peekAll(step.prefix);
			const row = rows[step.index % Math.max(1, rows.length)];
			if (row?.value.startsWith('{')) {
				context.countFault('row-corrupt');
				fleet.table.poke(row.key, row.value.slice(1));
				time.after(step.lengthMs, () => {
					fleet.table.poke(row.key, row.value);
				});
			}

			break;
		}
	}
}
