import fc from 'fast-check';
import {
	createInvariantMonitor,
	type InvariantName,
	SeededRandomSource,
} from '../../common/index.js';
import {VirtualTime} from '../fakes/index.js';
import type {FaultKind, SoakContext, SoakScenario} from './soak-scenario.js';

/** Figures of a soak. */
export type SoakReport = {
	runs: number;
	violations: number;
	requests: number;
	bookings: number;
	readonly faultsInjected: Partial<Record<FaultKind, number>>;
	readonly checks: Partial<Record<InvariantName, number>>;
	readonly failures: SoakFailure[];
};

/** A failing run, shrunk. */
export type SoakFailure = {
	readonly scenario: string;
	readonly seed: number;
	readonly violations: readonly string[];
	readonly plan: string;
	readonly trace: readonly string[];
};

const maxTraceLines = 60;
const seedStep = 7919;

// Bounds the time that shrinking a failing plan takes; the smallest plan found so far is printed.
const maxExecutions = 40;

type Tally = {
	readonly context: SoakContext;
	readonly trace: string[];
	readonly faults: Map<FaultKind, number>;
	requests: number;
	bookings: number;
};

function createTally(seed: number): Tally {
	const trace: string[] = [];
	const faults = new Map<FaultKind, number>();
	const time = new VirtualTime();
	const tally: Tally = {
		trace,
		faults,
		requests: 0,
		bookings: 0,
		context: {
			time,
			random: new SeededRandomSource(seed),
			invariants: createInvariantMonitor(),
			countFault(kind) {
				faults.set(kind, (faults.get(kind) ?? 0) + 1);
			},
			countRequests(by = 1) {
				tally.requests += by;
			},
			countBookings(by = 1) {
				tally.bookings += by;
			},
			trace(line) {
				trace.push(`${time.nowMs().toFixed(1)} ms ${line}`);
				trace.splice(0, Math.max(0, trace.length - maxTraceLines));
			},
		},
	};
	return tally;
}

function add<Name extends string>(
	sums: Partial<Record<Name, number>>,
	counts: ReadonlyMap<Name, number>,
): void {
	for (const [name, count] of counts) {
		sums[name] = (sums[name] ?? 0) + count;
	}
}

/**
 * Runs a scenario once and adds its figures to the report.
 * @param seed - seed of the plan and of the run's random numbers
 * @param options - whether a failing plan is reduced to a smaller one
 */
export async function runScenario<Plan>(
	scenario: SoakScenario<Plan>,
	seed: number,
	report: SoakReport,
	options: {readonly shrink?: boolean} = {},
): Promise<void> {
	let first: Tally | undefined;
	let last: Tally | undefined;
	let executions = 0;
	const property = fc.asyncProperty(scenario.plans, async (plan) => {
		if (++executions > maxExecutions) {
			return true;
		}

		const tally = createTally(seed);
		first ??= tally;
		await scenario.execute(plan, tally.context);
		if (tally.context.invariants.violations.length > 0) {
			last = tally;
			return false;
		}

		return true;
	});
	const details = await fc.check(property, {
		seed,
		numRuns: 1,
		endOnFailure: options.shrink === false,
	});
	const tally = first!;
	report.requests += tally.requests;
	report.bookings += tally.bookings;
	report.violations += tally.context.invariants.violations.length;
	add(report.faultsInjected, tally.faults);
	add(report.checks, tally.context.invariants.checks);
	if (details.failed) {
		const failing = last ?? tally;
		const thrown =
			details.errorInstance instanceof Error
				? [String(details.errorInstance)]
				: [];
		if (!last) {
			report.violations++;
		}

		report.failures.push({
			scenario: scenario.name,
			seed,
			violations: [
				...failing.context.invariants.violations.map(
					(one) => `${one.name}: ${one.detail}`,
				),
				...thrown,
				`shrunk ${details.numShrinks} times`,
			],
			plan: fc.stringify(details.counterexample),
			trace: failing.trace,
		});
	}
}

/** A report without runs. */
export function createSoakReport(): SoakReport {
	return {
		runs: 0,
		violations: 0,
		requests: 0,
		bookings: 0,
		faultsInjected: {},
		checks: {},
		failures: [],
	};
}

/**
 * Runs every scenario once for each run, with a seed derived from the given one.
 * @param seed - whole number
 * @param runs - number of runs
 */
export async function runSoak(
	scenarios: ReadonlyArray<SoakScenario<unknown>>,
	seed: number,
	runs: number,
): Promise<SoakReport> {
	const report = createSoakReport();
	for (let run = 0; run < runs; run++) {
		for (const scenario of scenarios) {
			await runScenario(scenario, seed * seedStep + run, report);
		}

		report.runs++;
	}

	return report;
}
