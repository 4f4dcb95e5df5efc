import fc from 'fast-check';
import type {CommitFault, TablePeriod} from '../../fakes/index.js';
import type {FaultKind} from '../soak-scenario.js';

/** Generator of the faults of one transaction. */
export const commitFaults = fc.constantFrom(
	'answer-lost' as const,
	'late-effect' as const,
	'no-effect' as const,
	'duplicated' as const,
);

/** Generator of the ways in which the table service fails for a while. */
export const tableModes = fc.constantFrom(
	'refuse' as const,
	'silent' as const,
	'slow' as const,
);

/** Kind that a fault of the table service is counted as. */
export const tableFaultKinds: Readonly<
	Record<CommitFault['kind'] | TablePeriod['kind'], FaultKind>
> = {
	'answer-lost': 'answer-lost',
	'late-effect': 'write-late',
	'no-effect': 'answer-lost',
	duplicated: 'write-duplicated',
	refuse: 'table-down',
	silent: 'table-down',
	slow: 'table-slow',
};
