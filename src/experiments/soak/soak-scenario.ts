import type fc from 'fast-check';
import type {InvariantMonitor, RandomSource} from '../../common/index.js';
import type {VirtualTime} from '../fakes/index.js';

/**
 * Kinds of fault that scenarios inject; the report counts them under these names. `answer-lost` includes
 * table commits that take effect late or not at all, and `order-late` includes lost commands.
 */
export type FaultKind =
	| 'engine-killed'
	| 'engine-reclaimed'
	| 'entry-killed'
	| 'entry-paused'
	| 'entry-stopped'
	| 'link-stalled'
	| 'chunk-duplicated'
	| 'chunk-reordered'
	| 'chunk-lost'
	| 'table-down'
	| 'table-slow'
	| 'answer-lost'
	| 'list-stale'
	| 'peers-cut'
	| 'zone-lost'
	| 'operators-race'
	| 'caller-left'
	| 'report-lagged'
	| 'write-late'
	| 'write-duplicated'
	| 'target-answer-lost'
	| 'target-refused'
	| 'target-slow'
	| 'target-hanging'
	| 'objects-down'
	| 'row-corrupt'
	| 'clock-skewed'
	| 'records-removed'
	| 'order-late'
	| 'order-duplicated';

/** Virtual time, random numbers and counters of one execution of a plan. */
export type SoakContext = {
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	/** Counts an injected fault. */
	countFault(kind: FaultKind): void;
	/** Adds to the number of requests in the report. */
	countRequests(by?: number): void;
	/** Adds to the number of bookings in the report. */
	countBookings(by?: number): void;
	/** Adds a line, with the virtual time, to the trace of the run; only the last lines are kept. */
	trace(line: string): void;
};

/**
 * A randomised run of decision code against fakes in virtual time. fast-check generates the plan and
 * shrinks the plan of a failing run.
 */
export abstract class SoakScenario<Plan> {
	abstract readonly name: string;
	abstract readonly plans: fc.Arbitrary<Plan>;
	/** Runs a plan and records violations in `context.invariants`. */
	abstract execute(plan: Plan, context: SoakContext): Promise<void>;
}
