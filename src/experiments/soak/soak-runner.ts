import fc from 'fast-check';
import {
	createInvariantMonitor,
	type InvariantName,
	SeededRandomSource,
} from '../../common/index.js';
import {VirtualTime} from '../fakes/index.js';
import type {FaultKind, SoakContext, SoakScenario} from './soak-scenario.js';

/** Totals of a soak, printed as JSON. */
export type SoakReport = {
	/** Number of runs of each scenario. */
	runs: number;
	violations: number;
	requests: number;
	bookings: number;
	readonly faultsInjected: Partial<Record<FaultKind, number>>;
	readonly checks: Partial<Record<InvariantName, number>>;
	readonly failures: SoakFailure[];
};

/** A failing run with the smallest plan found that still fails, printed as JSON. */
export type SoakFailure = {
	readonly scenario: string;
	/** Seed of this run, which is derived from the base seed; not a value for `--seed`. */
	readonly seed: number;
	/** Violations, a thrown error and the number of shrink steps. */
	readonly violations: readonly string[];
	/** Counterexample as fast-check prints it. */
	readonly plan: string;
	/** Last trace lines of the failing execution. */
	readonly trace: readonly string[];
};

const maxTraceLines = 60;
const seedStep = 7919;

// Bounds the time spent on shrinking a failing plan: later executions count as passed, so that
// fast-check reports the smallest failing plan found so far.
const maxExecutions = 40;

/** One execution of a plan with its counts. */
type Execution = {
	readonly context: SoakContext;
	readonly trace: string[];
	readonly faults: Map<FaultKind, number>;
	requests: number;
	bookings: number;
};

function createExecution(seed: number): Execution {
	const trace: string[] = [];
	const faults = new Map<FaultKind, number>();
	const time = new VirtualTime();
	const execution: Execution = {
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
				execution.requests += by;
			},
			countBookings(by = 1) {
				execution.bookings += by;
			},
			trace(line) {
				trace.push(`${time.nowMs().toFixed(1)} ms ${line}`);
				trace.splice(0, Math.max(0, trace.length - maxTraceLines));
			},
		},
	};
	return execution;
}

function addCounts<Name extends string>(
	totals: Partial<Record<Name, number>>,
	counts: ReadonlyMap<Name, number>,
): void {
	for (const [name, count] of counts) {
		totals[name] = (totals[name] ?? 0) + count;
	}
}

/**
 * Runs a scenario once and adds its counts to the report. Only the first execution is counted, not
 * those that shrink a failing plan.
 * @param seed - seed of the plan and of the run's random numbers
 * @param options - `shrink: false` reports a failing plan as it is
 */
export async function runScenario<Plan>(
	scenario: SoakScenario<Plan>,
	seed: number,
	report: SoakReport,
	options: {readonly shrink?: boolean} = {},
): Promise<void> {
	let firstExecution: Execution | undefined;
	let lastFailure: Execution | undefined;
	let executionCount = 0;
	const property = fc.asyncProperty(scenario.plans, async (plan) => {
		if (++executionCount > maxExecutions) {
			return true;
		}

		const execution = createExecution(seed);
		firstExecution ??= execution;
		await scenario.execute(plan, execution.context);
		if (execution.context.invariants.violations.length > 0) {
			lastFailure = execution;
			return false;
		}

		return true;
	});
	const details = await fc.check(property, {
		seed,
		numRuns: 1,
		endOnFailure: options.shrink === false,
	});
	const execution = firstExecution!;
	report.requests += execution.requests;
	report.bookings += execution.bookings;
	report.violations += execution.context.invariants.violations.length;
	addCounts(report.faultsInjected, execution.faults);
	addCounts(report.checks, execution.context.invariants.checks);
	if (details.failed) {
		const failing = lastFailure ?? execution;
		const thrownError =
			details.errorInstance instanceof Error
				? [String(details.errorInstance)]
				: [];
		if (!lastFailure) {
			report.violations++;
		}

		report.failures.push({
			scenario: scenario.name,
			seed,
			violations: [
				...failing.context.invariants.violations.map(
					(violation) => `${violation.name}: ${violation.detail}`,
				),
				...thrownError,
				`shrunk ${details.numShrinks} times`,
			],
			plan: fc.stringify(details.counterexample),
			trace: failing.trace,
		});
	}
}

/** Creates a report with all counts at zero. */
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
 * Runs every scenario `runs` times, each time with a seed derived from the base seed.
 * @param baseSeed - integer; the same seed repeats the same runs
 */
export async function runSoak(
	scenarios: ReadonlyArray<SoakScenario<unknown>>,
	baseSeed: number,
	runs: number,
): Promise<SoakReport> {
	const report = createSoakReport();
	for (let run = 0; run < runs; run++) {
		for (const scenario of scenarios) {
			await runScenario(scenario, baseSeed * seedStep + run, report);
		}

		report.runs++;
	}

	return report;
}
