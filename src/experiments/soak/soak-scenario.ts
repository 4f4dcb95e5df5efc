import type fc from 'fast-check';
import type {InvariantMonitor, RandomSource} from '../../common/index.js';
import type {VirtualTime} from '../fakes/index.js';

/** Kinds of fault that a scenario injects. */
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

/** What one run of a scenario works with. */
export type SoakContext = {
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	/** Counts an injected fault. */
	countFault(kind: FaultKind): void;
	countRequests(by?: number): void;
	countBookings(by?: number): void;
	/** Adds a line to the trace that a failing run prints. */
	trace(line: string): void;
};

/** A randomised run of decision code against fakes. fast-check shrinks the plan of a failing run. */
export abstract class SoakScenario<Plan> {
	abstract readonly name: string;
	/** Generator of plans. */
	abstract readonly plans: fc.Arbitrary<Plan>;
	/** Runs a plan; violations are reported to the context's monitor. */
	abstract execute(plan: Plan, context: SoakContext): Promise<void>;
}
