import {
	type Clock,
	type ConditionalResult,
	type ConditionalWrite,
	type FencingSupport,
	type LeaseHolder,
	type RowCheck,
	type RowWrite,
	type TableService,
	toProblem,
} from '../../common/index.js';
import {initialLeaseState} from './lease-machine.js';
import {isSameHolder, leaseKey, parseLeaseRow} from './lease-record.js';
import type {
	LeaseAction,
	LeaseDecisions,
	LeaseEvent,
	LeaseRecord,
	LeaseSettings,
	LeaseState,
	WritePurpose,
} from './types.js';

/** Options of a lease tracker. */
export type LeaseTrackerOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly decisions: LeaseDecisions;
	readonly settings: () => LeaseSettings;
	/** Called after each committed write of a lease row. */
	readonly onWrite: (
		targetId: string,
		purpose: WritePurpose,
		before: LeaseRecord | undefined,
		after: LeaseRecord,
	) => void;
	/** Called with the problem type of a failed transaction or of a corrupt row. */
	readonly onTableProblem: (type: string) => void;
};

/** A write of a lease row, with other rows that are checked and written in the same transaction. */
export type LeaseWrite = {
	readonly targetId: string;
	readonly purpose: WritePurpose;
	readonly record: LeaseRecord;
	readonly checks?: readonly RowCheck[];
	readonly writes?: readonly RowWrite[];
};

/** Tracks the leases that one VM holds or watches, and reads and writes their rows. */
export type LeaseTracker = {
	/** States by target. */
	readonly states: ReadonlyMap<string, LeaseState>;
	/** Starts to watch a target's lease, or updates its rank, fencing support and holder identity. */
	watch(
		targetId: string,
		self: LeaseHolder,
		fencing: FencingSupport,
		rank: number,
	): void;
	/**
	 * Stops watching a target's lease. A held lease is released as soon as its row holds no intent, and
	 * the state is kept until no copy sent by this VM can still arrive.
	 */
	unwatch(targetId: string): void;
	/** Applies an event to the state of a lease; ignored if the target is not watched. */
	apply(targetId: string, event: LeaseEvent): void;
	/** Returns the next action for a watched target. */
	decide(targetId: string): LeaseAction;
	/** Targets whose lease this VM holds. */
	heldTargetIds(): readonly string[];
	/**
	 * Reads and writes the rows that are due, batched into as few transactions as possible.
	 * @param refreshAll - also renew every held lease and read every watched row
	 * @param amend - adds rows that have to change together with a lease row; undefined skips the write
	 */
	syncRows(
		refreshAll: boolean,
		amend: (write: LeaseWrite) => Promise<LeaseWrite | undefined>,
	): Promise<void>;
	/** Commits one write together with its additional rows. */
	commit(write: LeaseWrite): Promise<void>;
};

type RowOperation = {
	readonly targetId: string;
	/** Undefined if the row is only read. */
	readonly write: LeaseWrite | undefined;
};

// Default limit of etcd for the operations in one transaction.
const maxBatch = 128;

/** Creates a tracker that watches no lease. */
export function createLeaseTracker(options: LeaseTrackerOptions): LeaseTracker {
	const {table, clock, decisions} = options;
	const states = new Map<string, LeaseState>();

	const apply = (targetId: string, event: LeaseEvent) => {
		const state = states.get(targetId);
		if (state) {
			states.set(
				targetId,
				decisions.advance(state, event, clock.nowMs(), options.settings()),
			);
		}
	};

	const decide = (targetId: string): LeaseAction =>
		decisions.decide(states.get(targetId)!, clock.nowMs(), options.settings());

	const isHeld = (state: LeaseState) =>
		isSameHolder(state.record?.holder, state.self);

	// While copies may still arrive, the state is needed to respond to stop requests of later holders.
	const removeIfDone = (targetId: string) => {
		const state = states.get(targetId)!;
		const isDone =
			state.rank < 0 &&
			!isHeld(state) &&
			state.pendingWrite === undefined &&
			decisions.hasStopped(state, clock.nowMs(), options.settings());
		if (isDone) {
			states.delete(targetId);
		}
	};

	const dueOperation = (
		targetId: string,
		refreshAll: boolean,
	): RowOperation | undefined => {
		const state = states.get(targetId)!;
		const action = decide(targetId);
		if (action.kind === 'write') {
			const {purpose, record} = action;
			return {targetId, write: {targetId, purpose, record}};
		}

		if (action.kind === 'read' || (refreshAll && !isHeld(state))) {
			return {targetId, write: undefined};
		}

		if (refreshAll && state.pendingWrite === undefined) {
			const record = {...state.record!, renewal: state.record!.renewal + 1};
			return {targetId, write: {targetId, purpose: 'renew', record}};
		}

		return undefined;
	};

	const toConditional = ({targetId, write}: RowOperation): ConditionalWrite => {
		const key = leaseKey(targetId);
		const version = Math.max(0, states.get(targetId)!.version);
		return {
			checks: [{key, version}, ...(write?.checks ?? [])],
			writes: write
				? [{key, value: JSON.stringify(write.record)}, ...(write.writes ?? [])]
				: [],
		};
	};

	const applyResult = (
		{targetId, write}: RowOperation,
		result: ConditionalResult,
		checkedVersion: number,
	) => {
		if (result.committed) {
			if (write) {
				const before = states.get(targetId)?.record;
				apply(targetId, {type: 'write-done', version: result.version});
				options.onWrite(targetId, write.purpose, before, write.record);
			} else {
				const record = states.get(targetId)?.record;
				apply(targetId, {type: 'row-seen', record, version: checkedVersion});
			}

			return;
		}

		const row = result.current.find((one) => one.key === leaseKey(targetId));
		if (write) {
			apply(targetId, {type: 'write-failed'});
		}

		try {
			const record = row && parseLeaseRow(row);
			apply(targetId, {type: 'row-seen', record, version: row?.version ?? 0});
		} catch (error) {
			// One corrupt row must not prevent the results of the rest of the batch from being applied.
			options.onTableProblem(toProblem(error).type);
		}
	};

	const commitOperations = async (operations: readonly RowOperation[]) => {
		const batch = operations.map((operation) => toConditional(operation));
		for (const {targetId, write} of operations) {
			if (write) {
				apply(targetId, {type: 'write-started', record: write.record});
			}
		}

		try {
			const results = await table.commit(batch);
			for (const [index, result] of results.entries()) {
				applyResult(operations[index], result, batch[index].checks[0].version);
			}
		} catch (error) {
			const {type} = toProblem(error);
			options.onTableProblem(type);
			for (const {targetId, write} of operations) {
				if (write) {
					const isNotWritten = type === 'table-unavailable';
					apply(targetId, {
						type: isNotWritten ? 'write-failed' : 'write-unknown',
					});
				}
			}
		}
	};

	return {
		states,
		watch(targetId, self, fencing, rank) {
			const state = states.get(targetId);
			if (!state) {
				states.set(targetId, initialLeaseState(self, fencing, rank));
			} else if (
				state.rank !== rank ||
				state.fencing !== fencing ||
				state.self.listSequence !== self.listSequence
			) {
				states.set(targetId, {...state, self, fencing, rank});
			}
		},
		unwatch(targetId) {
			const state = states.get(targetId);
			if (!state) {
				return;
			}

			states.set(targetId, {...state, rank: -1});
			removeIfDone(targetId);
		},
		apply,
		decide,
		heldTargetIds: () =>
			[...states]
				.filter(([, state]) => isHeld(state))
				.map(([targetId]) => targetId),
		async syncRows(refreshAll, amend) {
			const operations: RowOperation[] = [];
			const amendedKeys = new Set<string>();
			for (const targetId of states.keys()) {
				removeIfDone(targetId);
			}

			for (const targetId of states.keys()) {
				const operation = dueOperation(targetId, refreshAll);
				const write = operation?.write && (await amend(operation.write));
				const keys = (write?.writes ?? []).map(({key}) => key);
				// A transaction may write a key only once, so a second write waits for the next call.
				const collides = keys.some((key) => amendedKeys.has(key));
				const isSkipped = operation?.write !== undefined && write === undefined;
				if (operation && !isSkipped && !collides) {
					operations.push({targetId, write});
					for (const key of keys) {
						amendedKeys.add(key);
					}
				}
			}

			for (let start = 0; start < operations.length; start += maxBatch) {
				await commitOperations(operations.slice(start, start + maxBatch));
			}
		},
		async commit(write) {
			await commitOperations([{targetId: write.targetId, write}]);
		},
	};
}
