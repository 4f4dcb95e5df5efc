import {
	type Disposable,
	isNewerRevision,
	type TableSnapshot,
	type TargetEntry,
	toProblem,
} from '../../common/index.js';
import {
	createTableSyncTracker,
	newestRevisionOf,
	type TableSyncTracker,
} from '../../decisions/fleet/index.js';
import {
	followTable,
	type RelayedRow,
	type RelayedRows,
	type RelayedTables,
	type TargetRow,
} from '../../decisions/serving/index.js';
import {decodeTargetEntry, tableNames} from '../../platform/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import type {TableStatuses} from './store-watch-status.js';
import type {StoreWatchOptions} from './store-watch-types.js';
import {createTableLog} from './table-log.js';

/** Several targets often change at once; with this interval one read gets all their changes. */
const minIntervalMs = 150;
const tableLabel = 'store, targets table';

export type TargetsTableOptions = StoreWatchOptions & {
	readonly statuses: TableStatuses;
	/** True while this VM reads the store for the other VMs. */
	readonly isReader: () => boolean;
};

/** Keeps the target directory in sync with the targets' table. */
export type TargetsTable = Disposable & {
	readonly sync: TableSyncTracker;
	/** True once the targets are known, from the store or from a peer. */
	readonly hasTargets: boolean;
	/** Monotonic time at which the last read ended, in milliseconds; -Infinity before the first. */
	readonly lastAttemptMs: number;
	/** Rows of all present targets, for a peer that cannot read them. */
	rows(): readonly RelayedRow[];
	/** Applies the targets of a peer, unless this VM can read the table itself or knows a newer version. */
	applyPeerTables(tables: RelayedTables): void;
	applyPeerRows(changes: RelayedRows): void;
	/** Reads the table soon, see `TableFollower`. */
	refresh(respondedMs: number): void;
	/** Reads the whole table soon, see `TableFollower`. */
	restart(respondedMs: number): void;
};

/** Starts to follow the targets' table. */
export function watchTargetsTable(options: TargetsTableOptions): TargetsTable {
	const {directory, logger, clock, statuses} = options;
	const decoder = new TextDecoder();
	const sync = createTableSyncTracker(clock);
	const tableLog = createTableLog(logger, options.onTableRead);
	let hasTargets = false;

	const decodeEntry = (
		id: string,
		value: Uint8Array,
	): TargetEntry | undefined => {
		try {
			return decodeTargetEntry(id, decoder.decode(value));
		} catch (error) {
			const {type, detail, field} = toProblem(error);
			logger.warn('target entry refused', {target: id, type, detail, field});
			return undefined;
		}
	};

	const applySnapshot = ({rows, revision}: TableSnapshot) => {
		const targetRows = new Map<string, TargetRow>();
		for (const row of rows) {
			const entry = decodeEntry(row.key, row.value);
			targetRows.set(row.key, {entry, revision: row.revision});
		}

		directory.reset(targetRows, revision);
	};

	const follower = followTable(
		{
			...options,
			table: tableNames.targets,
			syncTracker: sync,
			minIntervalMs,
			onUnexpected: createUnexpectedErrorLog(logger),
		},
		{
			...tableLog.readListener(tableLabel, sync),
			onSnapshot(snapshot) {
				hasTargets = true;
				statuses.targets = 'read';
				applySnapshot(snapshot);
			},
			onChanges(changes, after) {
				const rows = changes.map(({key, value, revision}): RelayedRow => {
					const entry = value && decodeEntry(key, value);
					const isInvalid = value !== undefined && !entry;
					return {targetId: key, revision, entry, isInvalid};
				});
				for (const {targetId, entry, revision, isInvalid} of rows) {
					directory.set(targetId, entry, revision, isInvalid);
				}

				options.onTargetRows({
					after,
					revision: newestRevisionOf(sync.state),
					rows,
				});
			},
			onLost(problem) {
				statuses.targets = 'lost';
				options.onStoreLost();
				directory.storeLost();
				tableLog.logLost(tableLabel, problem);
			},
			onRegained() {
				statuses.targets = 'read';
				directory.storeRegained();
				tableLog.logRegained(tableLabel, sync);
			},
		},
	);

	return {
		sync,
		get hasTargets() {
			return hasTargets;
		},
		get lastAttemptMs() {
			return follower.lastAttemptMs;
		},
		rows() {
			return directory.rows().map(({entry, revision}) => ({
				targetId: entry.id,
				revision,
				entry,
				isInvalid: false,
			}));
		},
		applyPeerTables({targets, targetsRevision, departures}) {
			directory.applyDepartures(departures);
			if (
				statuses.targets === 'read' ||
				isNewerRevision(sync.revision, targetsRevision)
			) {
				return;
			}

			const rows = new Map<string, TargetRow>();
			for (const {targetId, entry, revision, isInvalid} of targets) {
				if (entry ?? isInvalid) {
					rows.set(targetId, {entry, revision});
				}
			}

			directory.reset(rows, targetsRevision);
			sync.adoptRevision(targetsRevision);
			follower.adopt();
			hasTargets = true;
		},
		applyPeerRows({rows, after, revision}) {
			for (const row of rows) {
				directory.set(row.targetId, row.entry, row.revision, row.isInvalid);
			}

			if (sync.recordRelayedChanges(after, revision)) {
				return;
			}

			if (revision.era > sync.revision.era) {
				follower.restart(clock.nowMs());
			} else {
				follower.refresh(clock.nowMs());
			}
		},
		restart(respondedMs) {
			follower.restart(respondedMs);
		},
		refresh(respondedMs) {
			follower.refresh(respondedMs);
		},
		dispose() {
			follower.dispose();
		},
	};
}
