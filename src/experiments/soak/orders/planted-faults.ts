import {
	type ConditionalResult,
	type ConditionalWrite,
	type ListOptions,
	type Row,
	TableService,
} from '../../../common/index.js';
import {
	isSameHolder,
	type LeaseDecisions,
	leaseDecisions,
	type LeaseEvent,
	type LeaseRecord,
	type LeaseSettings,
	type LeaseState,
	weightBudgetKey,
} from '../../../decisions/leases/index.js';
import type {FakeTableService} from '../../fakes/index.js';
import type {OrderMutation} from './order-world.js';

// Broken variants of the decisions. The runs have to catch each of them; the binaries use none.

/** Table service whose transactions a test changes on their way. */
class ChangedTable extends TableService {
	constructor(
		private readonly table: FakeTableService,
		private readonly change: (write: ConditionalWrite) => ConditionalWrite,
	) {
		super();
	}

	override async get(key: string): Promise<Row | undefined> {
		return this.table.get(key);
	}

	override async list(
		prefix: string,
		options: ListOptions,
	): Promise<readonly Row[]> {
		return this.table.list(prefix, options);
	}

	override async commit(
		batch: readonly ConditionalWrite[],
	): Promise<readonly ConditionalResult[]> {
		return this.table.commit(batch.map((write) => this.change(write)));
	}
}

/** Activates without waiting for the earlier holder. */
const withoutPassiveWait: LeaseDecisions = {
	...leaseDecisions,
	decide(state, nowMs, settings) {
		const action = leaseDecisions.decide(state, nowMs, settings);
		return action.kind === 'ask'
			? leaseDecisions.decide({...state, predecessor: 'gone'}, nowMs, settings)
			: action;
	},
};

/** Clears the intent as soon as the first copy was sent. */
const clearsTooEarly: LeaseDecisions = {
	...leaseDecisions,
	decide(state, nowMs, settings) {
		const action = leaseDecisions.decide(state, nowMs, settings);
		const {record} = state;
		const sent = state.copies.some(
			(copy) => copy.commandId === record?.intent?.commandId,
		);
		const mayClear =
			sent &&
			(action.kind === 'wait' ||
				(action.kind === 'write' && action.purpose === 'announce'));
		return mayClear
			? {
					kind: 'write',
					purpose: 'clear',
					record: {
						...record!,
						renewal: record!.renewal + 1,
						intent: undefined,
					},
				}
			: action;
	},
};

/** Goes on as the holder after its lease has gone to another VM. */
function ignoresLoss(
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
	settings: LeaseSettings,
): LeaseState {
	const held = isSameHolder(state.record?.holder, state.self);
	if (event.type !== 'row-seen' || !held) {
		return leaseDecisions.advance(state, event, nowMs, settings);
	}

	const validUntilMs = nowMs + settings.durationMs;
	const {version} = event;
	return {
		...state,
		version,
		validUntilMs,
		mustRead: false,
		pendingWrite: undefined,
	};
}

const renewsAfterExpiry: LeaseDecisions = {
	...leaseDecisions,
	advance: ignoresLoss,
};

/** Debits the weight store only after the load was announced. */
const debitsLate = (table: FakeTableService): TableService =>
	new ChangedTable(table, (write) => {
		const isDebit = (row: {readonly key: string}) =>
			row.key === weightBudgetKey;
		const debits = write.writes.filter((row) => isDebit(row));
		if (debits.length > 0) {
			const debit = {checks: [], writes: debits};
			setImmediate(() => {
				void table.commit([debit]);
			});
		}

		return {
			checks: write.checks.filter((row) => !isDebit(row)),
			writes: write.writes.filter((row) => !isDebit(row)),
		};
	});

/** Writes lease rows without checking that they are unchanged. */
const writesBlindly = (table: FakeTableService): TableService =>
	new ChangedTable(table, (write) =>
		write.writes.some(({key, value}) => {
			const record = key.startsWith('lease/') && value !== undefined;
			return record && (JSON.parse(value) as LeaseRecord).renewal > 1;
		})
			? {
					checks: write.checks.filter(({key}) => !key.startsWith('lease/')),
					writes: write.writes,
				}
			: write,
	);

/** Variants by name. */
export const plantedFaults: Readonly<Record<string, OrderMutation>> = {
	'target without a check of fencing numbers': {skipsFencingCheck: true},
	'intent cleared before its copies are answered': {
		decisions: clearsTooEarly,
	},
	'no passive wait for the earlier holder': {decisions: withoutPassiveWait},
	'renewal after the lease went to another holder': {
		decisions: renewsAfterExpiry,
	},
	'weight store debited after the load': {wrapTable: debitsLate},
	'unload without the copy check': {copyCheck: () => true},
	'lease rows written without a version check': {wrapTable: writesBlindly},
};
