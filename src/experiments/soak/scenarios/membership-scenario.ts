import fc from 'fast-check';
import type {MembershipRules} from '../../../decisions/membership/index.js';
import {createFakeFleet, type FakeFleet} from '../../fakes/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';
import {
	type ContractLoad,
	createContractLoad,
	loadContracts,
} from './contract-load.js';
import {createFleetTester, type FleetTester} from './fleet-tester.js';

type StepKind =
	| 'kill'
	| 'pause'
	| 'cut-off'
	| 'cut-one-way'
	| 'flap'
	| 'stale-list'
	| 'table-down'
	| 'leave'
	| 'replace'
	| 'change';

type Step = {
	readonly kind: StepKind;
	readonly atMs: number;
	readonly vm: number;
	readonly other: number;
	readonly durationMs: number;
};

const vmCount = 6;
const targetCount = 4;
const lastStepMs = 140_000;
const maxStepDurationMs = 25_000;

/** End of the run: 50 s into a minute, long after the last fault. */
const endMs = 210_000;
const flapMs = 1500;
const secondMs = 1000;

const kinds: readonly StepKind[] = [
	'kill',
	'pause',
	'cut-off',
	'cut-one-way',
	'flap',
	'stale-list',
	'table-down',
	'leave',
	'leave',
	'replace',
	'change',
];

/**
 * Entry VMs are killed, paused and disconnected while accounts flood the fleet, targets leave and the
 * configuration changes.
 */
export class MembershipScenario extends SoakScenario<readonly Step[]> {
	override readonly name = 'membership';
	override readonly plans = fc.array(
		fc.record({
			kind: fc.constantFrom(...kinds),
			atMs: fc.integer({min: 5000, max: lastStepMs}),
			vm: fc.nat(vmCount - 1),
			other: fc.nat(vmCount - 1),
			durationMs: fc.integer({min: 2000, max: maxStepDurationMs}),
		}),
		{minLength: 4, maxLength: 16},
	);

	/** @param rules - rules of the membership code, replaced by tests that plant faults */
	constructor(private readonly rules?: MembershipRules) {
		super();
	}

	override async execute(
		plan: readonly Step[],
		context: SoakContext,
	): Promise<void> {
		const {time, random} = context;
		const fleet = createFakeFleet({
			time,
			random,
			members: Array.from({length: vmCount}, (_, index) => ({
				name: `entry-${index}`,
				address: `127.0.0.1:${index + 1}`,
				availabilityZone: `zone-${index % 3}`,
				region: 'region-1',
			})),
			contractOf: (account) => loadContracts[account],
			rules: this.rules,
		});
		for (let index = 0; index < targetCount; index++) {
			fleet.targetVms.push({
				name: `engine-${index}`,
				instanceId: `engine-${index}-0`,
				role: 'engine',
				availabilityZone: 'zone-0',
				region: 'region-1',
				address: '127.0.0.1:99',
				state: 'live',
			});
		}

		fleet.start();
		const load = createContractLoad(fleet.vms, context, random);
		const tester = createFleetTester(fleet, load, context);
		for (const step of plan) {
			time.after(step.atMs, () => {
				context.trace(
					`${step.kind} vm ${step.vm} other ${step.other} for ${step.durationMs} ms`,
				);
				inject(step, {fleet, load, tester, context});
			});
		}

		const everySecond = () => {
			load.step();
			tester.checkEverySecond();
			time.after(secondMs, everySecond);
		};

		time.after(secondMs, everySecond);
		await time.runUntil(endMs);
		tester.checkFinalState();
	}
}

type RunContext = {
	readonly fleet: FakeFleet;
	readonly load: ContractLoad;
	readonly tester: FleetTester;
	readonly context: SoakContext;
};

function inject(step: Step, {fleet, load, tester, context}: RunContext): void {
	const {time} = context;
	const vm = fleet.vms[step.vm];
	const other = fleet.vms[step.other];
	const afterStep = (run: () => void) => {
		time.after(step.durationMs, run);
	};

	const setAllLinks = (isConnected: boolean) => {
		for (const peer of fleet.vms) {
			fleet.setLink(vm, peer, isConnected);
			fleet.setLink(peer, vm, isConnected);
		}
	};

	switch (step.kind) {
		case 'kill': {
			if (vm.state === 'dead') {
				return;
			}

			context.countFault('entry-killed');
			tester.recordFaultPeriod(vm, step.durationMs);
			fleet.kill(vm);
			load.dropGenerationsOf(vm);
			afterStep(() => {
				fleet.restart(vm);
			});
			break;
		}

		case 'pause': {
			context.countFault('entry-paused');
			tester.recordFaultPeriod(vm, step.durationMs);
			fleet.pause(vm);
			afterStep(() => {
				fleet.resume(vm);
			});
			break;
		}

		case 'cut-off': {
			context.countFault('peers-cut');
			tester.recordFaultPeriod(vm, step.durationMs);
			setAllLinks(false);
			afterStep(() => {
				setAllLinks(true);
			});
			break;
		}

		case 'cut-one-way': {
			context.countFault('peers-cut');
			fleet.setLink(vm, other, false);
			afterStep(() => {
				fleet.setLink(vm, other, true);
			});
			break;
		}

		case 'flap': {
			context.countFault('peers-cut');
			for (let passedMs = 0; passedMs < step.durationMs; passedMs += flapMs) {
				const isConnected = (passedMs / flapMs) % 2 === 1;
				time.after(passedMs, () => {
					fleet.setLink(vm, other, isConnected);
					fleet.setLink(other, vm, isConnected);
				});
			}

			afterStep(() => {
				fleet.setLink(vm, other, true);
				fleet.setLink(other, vm, true);
			});
			break;
		}

		case 'stale-list': {
			context.countFault('list-stale');
			fleet.listStale = true;
			afterStep(() => {
				fleet.listStale = false;
			});
			break;
		}

		case 'table-down': {
			context.countFault('table-down');
			fleet.tableDown = true;
			afterStep(() => {
				fleet.tableDown = false;
			});
			break;
		}

		case 'leave': {
			tester.startLeaving(vm, step.other % targetCount);
			break;
		}

		case 'replace': {
			tester.replaceTarget(step.other % targetCount);
			break;
		}

		case 'change': {
			tester.commitChange(vm);
			break;
		}
	}
}
