import {
	type Disposable,
	type StoredRow,
	type TargetEntry,
	toProblem,
} from '../../common/index.js';
import {
	createTableSyncTracker,
	type TableSyncTracker,
} from '../../decisions/fleet/index.js';
import {
	followTable,
	type RelayedRow,
	type RelayedRows,
	type RelayedTables,
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

	const applySnapshot = (rows: readonly StoredRow[], version: number) => {
		const entries = new Map<string, TargetEntry>();
		for (const row of rows) {
			const entry = decodeEntry(row.key, row.value);
			if (entry) {
				entries.set(row.key, entry);
			}
		}

		directory.reset(entries, version);
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
			onSnapshot({rows, version}) {
				hasTargets = true;
				statuses.targets = 'read';
				applySnapshot(rows, version);
			},
			onChanges(changes, afterVersion) {
				const rows = changes.map(({key, value, version}) => ({
					targetId: key,
					version,
					// A malformed entry counts as absent.
					entry: value && decodeEntry(key, value),
				}));
				for (const {targetId, entry, version} of rows) {
					directory.set(targetId, entry, version);
				}

				const {changeVersion} = sync.state;
				options.onTargetRows({afterVersion, version: changeVersion, rows});
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
			const {version} = sync;
			return [...directory.all()].map(({entry}) => ({
				targetId: entry.id,
				version,
				entry,
			}));
		},
		applyPeerTables({targets, targetsVersion}) {
			if (statuses.targets === 'read' || targetsVersion < sync.version) {
				return;
			}

			const entries = new Map<string, TargetEntry>();
			for (const {targetId, entry} of targets) {
				if (entry) {
					entries.set(targetId, entry);
				}
			}

			directory.reset(entries, targetsVersion);
			sync.adoptVersion(targetsVersion);
			hasTargets = true;
		},
		applyPeerRows({rows, afterVersion, version}) {
			for (const row of rows) {
				directory.set(row.targetId, row.entry, row.version);
			}

			if (!sync.recordRelayedChanges(afterVersion, version)) {
				follower.refresh(clock.nowMs());
			}
		},
		refresh(respondedMs) {
			follower.refresh(respondedMs);
		},
		dispose() {
			follower.dispose();
		},
	};
}
