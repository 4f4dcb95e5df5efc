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

/** Outcome of a run. */
export type SoakOutcome = {
	readonly violations: readonly Violation[];
	readonly observations: Observations;
	/** Last lines of each VM's daemon. */
	readonly logs: ReadonlyArray<readonly string[]>;
};

const plainCount = 2;
const engineCount = 3;
const readyTimeoutMs = 20_000;
const readyStepMs = 50;
const checkStepMs = 2000;
/** Length of the phase in which the recovery is judged, in milliseconds. */
const judgedMs = 1500;
/** The observer itself was held up for this long, in milliseconds. */
const stallMs = 250;
const stallStepMs = 25;
/** Shorter lateness is that of any timer, in milliseconds. */
const leastLateMs = 5;

async function untilReady(fleet: SoakFleet) {
	const untilMs = performance.now() + readyTimeoutMs;
	while (performance.now() < untilMs) {
		const ready = await Promise.all(fleet.vms.map(async (vm) => vm.isReady()));
		if (ready.every(Boolean)) {
			return true;
		}

		await sleep(readyStepMs);
	}

	return false;
}

/** Notes times in which the observer itself did not run, for which nothing can be judged. */
function watchStalls({disruptions, lateness}: Observations): NodeJS.Timeout {
	let lastMs = performance.now();
	return setInterval(() => {
		const nowMs = performance.now();
		const lateMs = nowMs - lastMs - stallStepMs;
		if (lateMs > leastLateMs) {
			lateness.push({atMs: nowMs, lateMs});
		}

		if (nowMs - lastMs > stallMs) {
			disruptions.push({
				vm: undefined,
				kind: 'observer-stalled',
				fromMs: lastMs,
				untilMs: nowMs,
			});
		}

		lastMs = nowMs;
	}, stallStepMs);
}

async function play(
	plan: SoakPlan,
	seed: number,
	fleet: SoakFleet,
	observations: Observations,
): Promise<readonly Violation[]> {
	const operator = createOperator(fleet.store, fleet.targets, observations);
	const injector = createFaultInjector(fleet, operator, observations);
	await Promise.all([
		...Array.from({length: plainCount}, async () =>
			fleet.targets.addService(soakServices.plain),
		),
		...Array.from({length: engineCount}, async () => fleet.targets.addEngine()),
		operator.writeVersions(1),
	]);
	for (const vm of fleet.vms) {
		injector.start(vm);
	}

	if (!(await untilReady(fleet))) {
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
		await sleep(soakBounds.recoveryMs + judgedMs);
		isOver = true;
	})();
	while (!isOver) {
		await Promise.race([faults, sleep(checkStepMs)]);
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
 * Plays a plan with real processes and checks the promises.
 * @param program - compiled file of the front daemon
 */
export async function runPlan(
	plan: SoakPlan,
	seed: number,
	program: string,
): Promise<SoakOutcome> {
	const observations = createObservations(soakBounds);
	const stalls = watchStalls(observations);
	const fleet = await createSoakFleet(plan.vmCount, program, observations);
	try {
		const violations = await play(plan, seed, fleet, observations);
		return {
			violations,
			observations,
			logs: fleet.vms.map((vm) => vm.process.lines),
		};
	} finally {
		await fleet.stop();
		clearInterval(stalls);
	}
}
