import type {Disposable} from '../../common/index.js';
import {
	createTableSyncTracker,
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
	/** The newest list of evacuated zones; undefined before the first. */
	readonly evacuations: EvacuationList | undefined;
	/** Applies the part of a peer's tables that belongs to this table. */
	applyPeerTables(tables: RelayedTables): void;
	applyPeerConfiguration(change: ConfigurationChange): void;
	applyPeerEvacuations(list: EvacuationList): void;
	/** Reads the table soon, see `TableFollower`. */
	refresh(respondedMs: number): void;
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
	const evacuations = createZoneEvacuations(evacuatedZones);
	const tableLog = createTableLog(logger, options.onTableRead);

	/** Relays the zones if this read has changed them. */
	const applyEvacuations = (apply: () => void) => {
		const before = evacuatedZones.zones.join(' ');
		apply();
		if (evacuations.list && evacuatedZones.zones.join(' ') !== before) {
			options.onEvacuationsChange(evacuations.list);
		}
	};

	const newestChange = (
		afterVersion: number,
	): ConfigurationChange | undefined => {
		const {changeVersion: version} = sync.state;
		const {newestText: text} = loader;
		return text === undefined
			? undefined
			: {afterVersion, version, text, evacuations: evacuations.list};
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
			onSnapshot({rows, version}) {
				statuses.operator = 'read';
				const zones = rows.flatMap(({key}) => decodeEvacuationKey(key) ?? []);
				applyEvacuations(() => {
					evacuations.applyList({zones, version});
				});
				for (const row of rows) {
					if (row.key === tableNames.configurationKey) {
						loader.load(decoder.decode(row.value), row.version, 'store');
					}
				}

				options.onConfigurationChange(undefined);
			},
			onChanges(changes, afterVersion) {
				const evacuationChanges = changes.flatMap(({key, value, version}) => {
					const availabilityZone = decodeEvacuationKey(key);
					return availabilityZone === undefined
						? []
						: {availabilityZone, isEvacuated: value !== undefined, version};
				});
				applyEvacuations(() => {
					evacuations.applyChanges(evacuationChanges, sync.state.changeVersion);
				});
				for (const {key, value, version} of changes) {
					if (key === tableNames.configurationKey && value) {
						loader.load(decoder.decode(value), version, 'store');
					}
				}

				options.onConfigurationChange(newestChange(afterVersion));
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
		applyPeerTables(tables) {
			if (tables.evacuations) {
				evacuations.applyList(tables.evacuations);
			}

			const {configurationVersion} = tables;
			if (configurationVersion >= sync.version) {
				loader.load(tables.configuration, configurationVersion, 'peer');
				sync.adoptVersion(configurationVersion);
			}
		},
		applyPeerConfiguration(change) {
			const {afterVersion, version, text} = change;
			if (!change.evacuations) {
				// The sender does not read evacuations, so that the changes up to `version` are not all known.
				follower.refresh(clock.nowMs());
				return;
			}

			evacuations.applyList(change.evacuations);
			const isNew = version > sync.version;
			if (!sync.recordRelayedChanges(afterVersion, version)) {
				follower.refresh(clock.nowMs());
			} else if (isNew) {
				loader.load(text, version, 'peer');
			}
		},
		applyPeerEvacuations(list) {
			evacuations.applyList(list);
		},
		refresh(respondedMs) {
			follower.refresh(respondedMs);
		},
		dispose() {
			loader.dispose();
			follower.dispose();
		},
	};
}
