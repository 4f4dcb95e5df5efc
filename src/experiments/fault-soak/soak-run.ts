import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandomSource} from '../../common/index.js';
import {checkInvariants, type Violation} from './checks/index.js';
import {createFaultInjector} from './fault-injector.js';
import {createObservations, type Observations} from './observations.js';
import {createOperator} from './operator.js';
import {soakBounds} from './soak-bounds.js';
import {createSoakFleet, type SoakFleet} from './soak-fleet.js';
import type {SoakPlan} from './soak-plan.js';
import {soakServices} from './soak-targets.js';
import {startTraffic} from './traffic.js';

/** Result of a run. */
export type SoakOutcome = {
	readonly violations: readonly Violation[];
	readonly observations: Observations;
	/** Last output lines of each VM's daemon. */
	readonly logs: ReadonlyArray<readonly string[]>;
};

const plainServiceCount = 2;
const engineCount = 3;
const readyTimeoutMs = 20_000;
const readyPollMs = 50;
const checkIntervalMs = 2000;
/** Duration of the check of recovery, which follows the recovery time, in milliseconds. */
const recoveryCheckMs = 1500;
/** A gap between timer ticks above which the observer counts as stalled, in milliseconds. */
const minStallMs = 250;
const tickIntervalMs = 25;
/** Smaller delays are usual for timers and not recorded, in milliseconds. */
const minLateMs = 5;

async function waitUntilReady(fleet: SoakFleet) {
	const untilMs = performance.now() + readyTimeoutMs;
	while (performance.now() < untilMs) {
		const ready = await Promise.all(fleet.vms.map(async (vm) => vm.isReady()));
		if (ready.every(Boolean)) {
			return true;
		}

		await sleep(readyPollMs);
	}

	return false;
}

/**
 * Records delays of the observer process itself. A long stall counts as a disruption of all VMs,
 * since the times observed around it say nothing about the daemons.
 */
function recordStalls({disruptions, lateness}: Observations): NodeJS.Timeout {
	let lastMs = performance.now();
	return setInterval(() => {
		const nowMs = performance.now();
		const lateMs = nowMs - lastMs - tickIntervalMs;
		if (lateMs > minLateMs) {
			lateness.push({atMs: nowMs, lateMs});
		}

		if (nowMs - lastMs > minStallMs) {
			disruptions.push({
				vm: undefined,
				kind: 'observer-stalled',
				fromMs: lastMs,
				untilMs: nowMs,
			});
		}

		lastMs = nowMs;
	}, tickIntervalMs);
}

/** Starts targets, daemons and traffic, applies the plan and checks the invariants meanwhile. */
async function executePlan(
	plan: SoakPlan,
	seed: number,
	fleet: SoakFleet,
	observations: Observations,
): Promise<readonly Violation[]> {
	const operator = createOperator(fleet.store, fleet.targets, observations);
	const injector = createFaultInjector(fleet, operator, observations);
	await Promise.all([
		...Array.from({length: plainServiceCount}, async () =>
			fleet.targets.addService(soakServices.plain),
		),
		...Array.from({length: engineCount}, async () => fleet.targets.addEngine()),
		operator.writeVersions(1),
	]);
	for (const vm of fleet.vms) {
		injector.start(vm);
	}

	if (!(await waitUntilReady(fleet))) {
		return [{promise: 'recovery', detail: 'the VMs did not become ready'}];
	}

	const traffic = startTraffic(
		fleet.vms,
		observations,
		new SeededRandomSource(seed),
	);
	let isOver = false;
	const faults = (async () => {
		await Promise.all(plan.steps.map(async (step) => injector.apply(step)));
		observations.calmFromMs = performance.now();
		await sleep(soakBounds.recoveryMs + recoveryCheckMs);
		isOver = true;
	})();
	while (!isOver) {
		await Promise.race([faults, sleep(checkIntervalMs)]);
		// Recovery can be checked only at the end.
		const violations = checkInvariants(observations).filter(
			({promise}) => promise !== 'recovery',
		);
		if (violations.length > 0) {
			isOver = true;
		}
	}

	injector.dispose();
	await traffic.stop();
	return checkInvariants(observations);
}

/**
 * Runs a plan with real daemon processes and checks the invariants, every two seconds and at the
 * end. Stops early at the first violation.
 * @param seed - seed of the traffic
 * @param program - path of the compiled front daemon
 */
export async function runPlan(
	plan: SoakPlan,
	seed: number,
	program: string,
): Promise<SoakOutcome> {
	const observations = createObservations(soakBounds);
	const stallTimer = recordStalls(observations);
	const fleet = await createSoakFleet(plan.vmCount, program, observations);
	try {
		const violations = await executePlan(plan, seed, fleet, observations);
		return {
			violations,
			observations,
			logs: fleet.vms.map((vm) => vm.process.lines),
		};
	} finally {
		await fleet.stop();
		clearInterval(stallTimer);
	}
}
