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

/** What a keeper needs from its surroundings. */
export type LeaseTrackerOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly decisions: LeaseDecisions;
	readonly settings: () => LeaseSettings;
	readonly onWrite: (
		targetId: string,
		purpose: WritePurpose,
		before: LeaseRecord | undefined,
		after: LeaseRecord,
	) => void;
	readonly onTableProblem: (type: string) => void;
};

/** A write of a lease row, with the rows that change in the same transaction. */
export type LeaseWrite = {
	readonly targetId: string;
	readonly purpose: WritePurpose;
	readonly record: LeaseRecord;
	readonly checks?: readonly RowCheck[];
	readonly writes?: readonly RowWrite[];
};

/** Keeps what one VM knows of the leases that it holds or watches. */
export type LeaseTracker = {
	readonly states: ReadonlyMap<string, LeaseState>;
	/** Begins to watch a target, or changes the rank there. */
	watch(
		targetId: string,
		self: LeaseHolder,
		fencing: FencingSupport,
		rank: number,
	): void;
	/** Gives up a target; a held lease is released as soon as it holds no intent. */
	unwatch(targetId: string): void;
	apply(targetId: string, event: LeaseEvent): void;
	decide(targetId: string): LeaseAction;
	/** Targets whose lease this VM holds. */
	heldTargetIds(): readonly string[];
	/**
	 * Reads and writes the rows that are due, in one transaction.
	 * @param withAll - also renew every held lease and look at every watched row
	 * @param amend - adds rows that have to change together with a lease row, or drops the write
	 */
	syncRows(
		withAll: boolean,
		amend: (write: LeaseWrite) => Promise<LeaseWrite | undefined>,
	): Promise<void>;
	/** Carries out one write with its further rows. */
	commit(write: LeaseWrite): Promise<void>;
};

type Item = {
	readonly targetId: string;
	readonly write: LeaseWrite | undefined;
};

// Operations that etcd allows in one transaction by default.
const maxBatch = 128;

/** Creates a keeper that watches nothing. */
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

	// A VM that may still have copies in flight has to answer for them.
	const dropIfDone = (targetId: string) => {
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

	const itemFor = (targetId: string, withAll: boolean): Item | undefined => {
		const state = states.get(targetId)!;
		const action = decide(targetId);
		if (action.kind === 'write') {
			const {purpose, record} = action;
			return {targetId, write: {targetId, purpose, record}};
		}

		if (action.kind === 'read' || (withAll && !isHeld(state))) {
			return {targetId, write: undefined};
		}

		if (withAll && state.pendingWrite === undefined) {
			const record = {...state.record!, renewal: state.record!.renewal + 1};
			return {targetId, write: {targetId, purpose: 'renew', record}};
		}

		return undefined;
	};

	const toConditional = ({targetId, write}: Item): ConditionalWrite => {
		const key = leaseKey(targetId);
		const version = Math.max(0, states.get(targetId)!.version);
		return {
			checks: [{key, version}, ...(write?.checks ?? [])],
			writes: write
				? [{key, value: JSON.stringify(write.record)}, ...(write.writes ?? [])]
				: [],
		};
	};

	const takeResult = (
		{targetId, write}: Item,
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
			// One broken row must not keep the rest of the batch from being taken in.
			options.onTableProblem(toProblem(error).type);
		}
	};

	const commitItems = async (items: readonly Item[]) => {
		const batch = items.map((item) => toConditional(item));
		for (const {targetId, write} of items) {
			if (write) {
				apply(targetId, {type: 'write-started', record: write.record});
			}
		}

		try {
			const results = await table.commit(batch);
			for (const [index, result] of results.entries()) {
				takeResult(items[index], result, batch[index].checks[0].version);
			}
		} catch (error) {
			const {type} = toProblem(error);
			options.onTableProblem(type);
			for (const {targetId, write} of items) {
				if (write) {
					const unwritten = type === 'table-unavailable';
					apply(targetId, {
						type: unwritten ? 'write-failed' : 'write-unknown',
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
			dropIfDone(targetId);
		},
		apply,
		decide,
		heldTargetIds: () =>
			[...states]
				.filter(([, state]) => isHeld(state))
				.map(([targetId]) => targetId),
		async syncRows(withAll, amend) {
			const items: Item[] = [];
			const sharedKeys = new Set<string>();
			for (const targetId of states.keys()) {
				dropIfDone(targetId);
			}

			for (const targetId of states.keys()) {
				const item = itemFor(targetId, withAll);
				const write = item?.write && (await amend(item.write));
				const keys = (write?.writes ?? []).map(({key}) => key);
				// A transaction may write a key once, so the second one waits for the next round.
				const collides = keys.some((key) => sharedKeys.has(key));
				const dropped = item?.write !== undefined && write === undefined;
				if (item && !dropped && !collides) {
					items.push({targetId, write});
					for (const key of keys) {
						sharedKeys.add(key);
					}
				}
			}

			for (let start = 0; start < items.length; start += maxBatch) {
				await commitItems(items.slice(start, start + maxBatch));
			}
		},
		async commit(write) {
			await commitItems([{targetId: write.targetId, write}]);
		},
	};
}
