import fc from 'fast-check';
import type {
	CommitFault,
	FakeTableService,
	TableFaultPeriod,
} from '../../fakes/index.js';
import type {FaultKind, SoakContext} from '../soak-scenario.js';

/** Generator of the fault of one transaction. */
export const commitFaults = fc.constantFrom(
	'answer-lost' as const,
	'late-effect' as const,
	'no-effect' as const,
	'duplicated' as const,
);

/** Generator of the ways in which the table service fails for a while. */
export const tableFaultModes = fc.constantFrom(
	'refuse' as const,
	'silent' as const,
	'slow' as const,
);

/** Fault kind under which each fault of the table service is counted. */
export const tableFaultKinds: Readonly<
	Record<CommitFault['kind'] | TableFaultPeriod['kind'], FaultKind>
> = {
	'answer-lost': 'answer-lost',
	'late-effect': 'write-late',
	'no-effect': 'answer-lost',
	duplicated: 'write-duplicated',
	refuse: 'table-down',
	silent: 'table-down',
	slow: 'table-slow',
};

/** A step that makes the table service fail for a while. */
export type TableFaultStep = {
	readonly mode: TableFaultPeriod['kind'];
	/** Length of the period, in milliseconds. */
	readonly lengthMs: number;
	/** Additional latency of the mode `slow`, in milliseconds. */
	readonly extraMs: number;
};

/** Starts the period of a table fault now, and counts the fault. */
export function startTableFault(
	table: FakeTableService,
	step: TableFaultStep,
	{time, countFault}: SoakContext,
): void {
	const fromMs = time.nowMs();
	countFault(tableFaultKinds[step.mode]);
	table.planFaultPeriod({
		kind: step.mode,
		fromMs,
		untilMs: fromMs + step.lengthMs,
		extraMs: step.extraMs,
	});
}
