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

// Deliberately broken variants of the lease code, used only by the tests that verify the checks.

/** Table service that changes every transaction before it is committed. */
class TransformingTable extends TableService {
	constructor(
		private readonly table: FakeTableService,
		private readonly transform: (write: ConditionalWrite) => ConditionalWrite,
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
		return this.table.commit(batch.map((write) => this.transform(write)));
	}
}

/** Takes over the lease without the passive wait for evidence that the predecessor has stopped. */
const takesOverWithoutStopEvidence: LeaseDecisions = {
	...leaseDecisions,
	decide(state, nowMs, settings) {
		const action = leaseDecisions.decide(state, nowMs, settings);
		return action.kind === 'ask'
			? leaseDecisions.decide({...state, predecessor: 'gone'}, nowMs, settings)
			: action;
	},
};

/** Clears the intent as soon as one copy was sent, before the copies have ended. */
const clearsIntentEarly: LeaseDecisions = {
	...leaseDecisions,
	decide(state, nowMs, settings) {
		const action = leaseDecisions.decide(state, nowMs, settings);
		const {record} = state;
		const isSent = state.copies.some(
			(copy) => copy.commandId === record?.intent?.commandId,
		);
		const mayClear =
			isSent &&
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

/** Keeps acting as the holder, with an extended lease, after a row shows another holder. */
function advanceDespiteLoss(
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
	settings: LeaseSettings,
): LeaseState {
	const wasHeld = isSameHolder(state.record?.holder, state.self);
	if (event.type !== 'row-seen' || !wasHeld) {
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

const renewsAfterLoss: LeaseDecisions = {
	...leaseDecisions,
	advance: advanceDespiteLoss,
};

/** Debits the weight store in a separate transaction after the one that announces the load. */
const debitsAfterAnnouncement = (table: FakeTableService): TableService =>
	new TransformingTable(table, (write) => {
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

/** Drops the version checks from transactions that write lease rows beyond their first renewal. */
const writesUnchecked = (table: FakeTableService): TableService =>
	new TransformingTable(table, (write) =>
		write.writes.some(({key, value}) => {
			const isLeaseWrite = key.startsWith('lease/') && value !== undefined;
			return isLeaseWrite && (JSON.parse(value) as LeaseRecord).renewal > 1;
		})
			? {
					checks: write.checks.filter(({key}) => !key.startsWith('lease/')),
					writes: write.writes,
				}
			: write,
	);

/** Faults by name; the name is the title of the test that has to detect the fault. */
export const plantedFaults: Readonly<Record<string, OrderMutation>> = {
	'target without a check of fencing numbers': {skipsFencingCheck: true},
	'intent cleared before its copies are answered': {
		decisions: clearsIntentEarly,
	},
	'no passive wait for the earlier holder': {
		decisions: takesOverWithoutStopEvidence,
	},
	'renewal after the lease went to another holder': {
		decisions: renewsAfterLoss,
	},
	'weight store debited after the load': {wrapTable: debitsAfterAnnouncement},
	'unload without the copy check': {copyCheck: () => true},
	'lease rows written without a version check': {wrapTable: writesUnchecked},
};
