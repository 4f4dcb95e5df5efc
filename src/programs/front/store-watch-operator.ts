import {
	type Disposable,
	isNewerRevision,
	type StoreRevision,
} from '../../common/index.js';
import {
	createTableSyncTracker,
	newestRevisionOf,
	type TableSyncTracker,
} from '../../decisions/fleet/index.js';
import {
	createZoneEvacuations,
	type EvacuationList,
	followTable,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import {decodeEvacuationKey, tableNames} from '../../platform/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {createConfigurationLoader} from './configuration-loader.js';
import type {TableStatuses} from './store-watch-status.js';
import type {
	ConfigurationChange,
	StoreWatchOptions,
} from './store-watch-types.js';
import {createTableLog} from './table-log.js';

const minIntervalMs = 100;
const tableLabel = 'store, operator table';

export type OperatorTableOptions = StoreWatchOptions & {
	readonly statuses: TableStatuses;
	/** True while this VM reads the store for the other VMs. */
	readonly isReader: () => boolean;
};

/** Keeps the configuration and the evacuated zones in sync with the operator's table. */
export type OperatorTable = Disposable & {
	readonly sync: TableSyncTracker;
	/** Monotonic time at which the last read ended, in milliseconds; -Infinity before the first. */
	readonly lastAttemptMs: number;
	/** Text of the newest configuration received; undefined before the first. */
	readonly configurationText: string | undefined;
	/** Highest operator's version received, also of a refused configuration; 0 before the first. */
	readonly configurationVersion: number;
	/**
	 * Monotonic time at which this VM first read the table, in milliseconds; undefined unless the store had
	 * been restored from an older copy before.
	 */
	readonly startedFromCopyMs: number | undefined;
	/** The newest list of evacuated zones; undefined before the first. */
	readonly evacuations: EvacuationList | undefined;
	/** Applies the part of a peer's tables that belongs to this table. */
	applyPeerTables(tables: RelayedTables): void;
	applyPeerConfiguration(change: ConfigurationChange): void;
	applyPeerEvacuations(list: EvacuationList): void;
	/** Reads the table soon, see `TableFollower`. */
	refresh(respondedMs: number): void;
	/** Reads the whole table soon, see `TableFollower`. */
	restart(respondedMs: number): void;
};

/** Starts to follow the operator's table. */
export function watchOperatorTable(
	options: OperatorTableOptions,
): OperatorTable {
	const {configuration, evacuatedZones, logger, clock, statuses} = options;
	const decoder = new TextDecoder();
	const sync = createTableSyncTracker(clock);
	const loader = createConfigurationLoader({
		timers: options.timers,
		configuration,
		logger,
	});
	const evacuations = createZoneEvacuations({clock, evacuatedZones});
	let expiryTimer: Disposable | undefined;
	let hasRead = false;
	let startedFromCopyMs: number | undefined;
	const tableLog = createTableLog(logger, options.onTableRead);

	/** Applies a change of the evacuations, and ends those that are held when it is time. */
	const updateEvacuations = (apply: () => void) => {
		apply();
		expiryTimer?.dispose();
		const {expiryMs} = evacuations;
		if (expiryMs < Infinity) {
			expiryTimer = options.timers.after(expiryMs - clock.nowMs(), () => {
				updateEvacuations(evacuations.expire);
			});
		}
	};

	/** Relays the zones if this read has changed them. */
	const readEvacuations = (apply: () => void) => {
		const before = evacuatedZones.zones.join(' ');
		updateEvacuations(apply);
		if (evacuations.list && evacuatedZones.zones.join(' ') !== before) {
			options.onEvacuationsChange(evacuations.list);
		}
	};

	const newestChange = (
		after: StoreRevision,
	): ConfigurationChange | undefined => {
		const {newestText: text} = loader;
		return text === undefined
			? undefined
			: {
					after,
					revision: newestRevisionOf(sync.state),
					text,
					evacuations: evacuations.list,
				};
	};

	const follower = followTable(
		{
			...options,
			table: tableNames.operator,
			syncTracker: sync,
			minIntervalMs,
			onUnexpected: createUnexpectedErrorLog(logger),
		},
		{
			...tableLog.readListener(tableLabel, sync),
			onSnapshot({rows, revision}) {
				statuses.operator = 'read';
				if (!hasRead && revision.era > 0) {
					startedFromCopyMs = clock.nowMs();
				}

				hasRead = true;
				const zones = rows.flatMap(({key}) => decodeEvacuationKey(key) ?? []);
				readEvacuations(() => {
					evacuations.applyList({revision, zones, held: [], removed: []});
				});
				for (const row of rows) {
					if (row.key === tableNames.configurationKey) {
						loader.load(decoder.decode(row.value), row.revision, 'store');
					}
				}

				options.onConfigurationChange(undefined);
			},
			onChanges(changes, after) {
				const evacuationChanges = changes.flatMap(({key, value, revision}) => {
					const availabilityZone = decodeEvacuationKey(key);
					return availabilityZone === undefined
						? []
						: {availabilityZone, isEvacuated: value !== undefined, revision};
				});
				readEvacuations(() => {
					evacuations.applyChanges(
						evacuationChanges,
						newestRevisionOf(sync.state),
					);
				});
				for (const {key, value, revision} of changes) {
					if (key === tableNames.configurationKey && value) {
						loader.load(decoder.decode(value), revision, 'store');
					}
				}

				options.onConfigurationChange(newestChange(after));
			},
			onLost(problem) {
				statuses.operator = 'lost';
				options.onStoreLost();
				tableLog.logLost(tableLabel, problem);
			},
			onRegained() {
				statuses.operator = 'read';
				tableLog.logRegained(tableLabel, sync);
			},
		},
	);

	const applyPeerList = (list: EvacuationList | undefined) => {
		if (list) {
			updateEvacuations(() => {
				evacuations.applyList(list);
			});
		}
	};

	/** Reads what a peer has just relayed, and the whole table if that is of a newer era. */
	const refreshFor = ({era}: StoreRevision) => {
		if (era > sync.revision.era) {
			follower.restart(clock.nowMs());
		} else {
			follower.refresh(clock.nowMs());
		}
	};

	return {
		sync,
		get lastAttemptMs() {
			return follower.lastAttemptMs;
		},
		get configurationText() {
			return loader.newestText;
		},
		get evacuations() {
			return evacuations.list;
		},
		get configurationVersion() {
			return loader.seenVersion;
		},
		get startedFromCopyMs() {
			return startedFromCopyMs;
		},
		applyPeerTables({configuration: text, configurationRevision, ...tables}) {
			loader.load(text, configurationRevision, 'peer');
			// Without the evacuations, the changes up to the revision are not all known.
			if (tables.evacuations) {
				applyPeerList(tables.evacuations);
				if (!isNewerRevision(sync.revision, configurationRevision)) {
					sync.adoptRevision(configurationRevision);
					follower.adopt();
				}
			}
		},
		applyPeerConfiguration(change) {
			const {after, revision, text} = change;
			if (!change.evacuations) {
				// The sender does not read evacuations, so that the changes up to `revision` are not all known.
				follower.refresh(clock.nowMs());
				return;
			}

			applyPeerList(change.evacuations);
			const isNew = isNewerRevision(revision, sync.revision);
			if (!sync.recordRelayedChanges(after, revision)) {
				refreshFor(revision);
			} else if (isNew) {
				loader.load(text, revision, 'peer');
			}
		},
		applyPeerEvacuations: applyPeerList,
		restart(respondedMs) {
			follower.restart(respondedMs);
		},
		refresh(respondedMs) {
			follower.refresh(respondedMs);
		},
		dispose() {
			expiryTimer?.dispose();
			loader.dispose();
			follower.dispose();
		},
	};
}
