import {
	type StoredRow,
	type TargetEntry,
	toProblem,
} from '../../common/index.js';
import {
	createTableSyncTracker,
	type StoreReadState,
	type TableSyncTracker,
} from '../../decisions/fleet/index.js';
import {followTable} from '../../decisions/serving/index.js';
import {decodeTargetEntry, tableNames} from '../../platform/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {createConfigurationLoader} from './configuration-loader.js';
import type {StoreWatch, StoreWatchOptions} from './store-watch-types.js';
import {createTableLog} from './table-log.js';

/** Whether a table has been read, and can be read now. */
type TableStatus = 'lost' | 'read' | 'unread';

const minConfigurationIntervalMs = 100;
/** Several targets often change at once; with this interval one read gets all their changes. */
const minTargetsIntervalMs = 150;

/** Starts to follow the operator's table and the targets' table. */
export function watchStore(options: StoreWatchOptions): StoreWatch {
	const {configuration, directory, logger, clock} = options;
	const decoder = new TextDecoder();
	const configurationSync = createTableSyncTracker(clock);
	const targetsSync = createTableSyncTracker(clock);
	let hasTargets = false;
	let configurationStatus: TableStatus = 'unread';
	let targetsStatus: TableStatus = 'unread';

	const readState = (): StoreReadState => {
		if (targetsStatus === 'lost' || configurationStatus === 'lost') {
			return 'lost';
		}

		return targetsStatus === 'read' && options.isStoreReader('reading')
			? 'reading'
			: 'idle';
	};

	const loader = createConfigurationLoader({
		timers: options.timers,
		configuration,
		logger,
	});

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

	const {logLost, logRegained, readListener} = createTableLog(
		logger,
		options.onTableRead,
	);

	const followerOptions = (table: string, syncTracker: TableSyncTracker) => ({
		...options,
		table,
		syncTracker,
		isReader: () => options.isStoreReader(readState()),
		onUnexpected: createUnexpectedErrorLog(logger),
	});

	const operatorTableLabel = 'store, operator table';
	const operatorFollower = followTable(
		{
			...followerOptions(tableNames.operator, configurationSync),
			minIntervalMs: minConfigurationIntervalMs,
		},
		{
			...readListener(operatorTableLabel, configurationSync),
			onSnapshot({rows}) {
				configurationStatus = 'read';
				for (const row of rows) {
					if (row.key === tableNames.configurationKey) {
						loader.load(decoder.decode(row.value), row.version, 'store');
					}
				}

				options.onConfigurationChange(undefined);
			},
			onChanges(changes, afterVersion) {
				for (const {key, value, version} of changes) {
					if (key === tableNames.configurationKey && value) {
						loader.load(decoder.decode(value), version, 'store');
					}
				}

				const {changeVersion} = configurationSync.state;
				const {newestText} = loader;
				options.onConfigurationChange(
					newestText === undefined
						? undefined
						: {afterVersion, version: changeVersion, text: newestText},
				);
			},
			onLost(problem) {
				configurationStatus = 'lost';
				options.onStoreLost();
				logLost(operatorTableLabel, problem);
			},
			onRegained() {
				configurationStatus = 'read';
				logRegained(operatorTableLabel, configurationSync);
			},
		},
	);

	const applyTargetsSnapshot = (
		rows: readonly StoredRow[],
		version: number,
	) => {
		const entries = new Map<string, TargetEntry>();
		for (const row of rows) {
			const entry = decodeEntry(row.key, row.value);
			if (entry) {
				entries.set(row.key, entry);
			}
		}

		directory.reset(entries, version);
	};

	const targetsTableLabel = 'store, targets table';
	const targetsFollower = followTable(
		{
			...followerOptions(tableNames.targets, targetsSync),
			minIntervalMs: minTargetsIntervalMs,
		},
		{
			...readListener(targetsTableLabel, targetsSync),
			onSnapshot({rows, version}) {
				hasTargets = true;
				targetsStatus = 'read';
				applyTargetsSnapshot(rows, version);
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

				const {changeVersion} = targetsSync.state;
				options.onTargetRows({afterVersion, version: changeVersion, rows});
			},
			onLost(problem) {
				targetsStatus = 'lost';
				options.onStoreLost();
				directory.storeLost();
				logLost(targetsTableLabel, problem);
			},
			onRegained() {
				targetsStatus = 'read';
				directory.storeRegained();
				logRegained(targetsTableLabel, targetsSync);
			},
		},
	);

	return {
		get isLoaded() {
			return hasTargets && configuration.current !== undefined;
		},
		get readState() {
			return readState();
		},
		get isStoreLost() {
			return targetsStatus === 'lost' || configurationStatus === 'lost';
		},
		get hasTargets() {
			return hasTargets;
		},
		get lastAttemptMs() {
			return Math.min(
				configurationStatus === 'lost'
					? operatorFollower.lastAttemptMs
					: Infinity,
				targetsStatus === 'lost' ? targetsFollower.lastAttemptMs : Infinity,
			);
		},
		get areTargetsCurrent() {
			// Once the readers have lost the store no changes are reported, although their last confirmation
			// is still younger than the usual limit.
			const limitMs = options.haveReadersLostStore(readState())
				? options.waitMs()
				: options.maxAgeMs();
			return targetsStatus === 'read' && targetsSync.ageMs <= limitMs;
		},
		configurationSync,
		targetsSync,
		tables() {
			const {version} = targetsSync;
			return hasTargets && loader.newestText !== undefined
				? {
						configuration: loader.newestText,
						configurationVersion: configurationSync.version,
						targets: [...directory.all()].map(({entry}) => ({
							targetId: entry.id,
							version,
							entry,
						})),
						targetsVersion: version,
					}
				: undefined;
		},
		applyPeerTables(tables) {
			const {configurationVersion} = tables;
			if (configurationVersion >= configurationSync.version) {
				loader.load(tables.configuration, configurationVersion, 'peer');
				configurationSync.adoptVersion(configurationVersion);
			}

			if (
				targetsStatus === 'read' ||
				tables.targetsVersion < targetsSync.version
			) {
				return;
			}

			const entries = new Map<string, TargetEntry>();
			for (const {targetId, entry} of tables.targets) {
				if (entry) {
					entries.set(targetId, entry);
				}
			}

			directory.reset(entries, tables.targetsVersion);
			targetsSync.adoptVersion(tables.targetsVersion);
			hasTargets = true;
		},
		applyPeerRows(changes) {
			for (const {targetId, entry, version} of changes.rows) {
				directory.set(targetId, entry, version);
			}

			if (
				!targetsSync.recordRelayedChanges(changes.afterVersion, changes.version)
			) {
				targetsFollower.refresh(clock.nowMs());
			}
		},
		applyPeerConfiguration({afterVersion, version, text}) {
			const isNew = version > configurationSync.version;
			if (!configurationSync.recordRelayedChanges(afterVersion, version)) {
				operatorFollower.refresh(clock.nowMs());
			} else if (isNew) {
				loader.load(text, version, 'peer');
			}
		},
		refreshConfiguration(respondedMs) {
			operatorFollower.refresh(respondedMs);
		},
		refreshTargets(respondedMs = -Infinity) {
			targetsFollower.refresh(respondedMs);
		},
		dispose() {
			loader.dispose();
			operatorFollower.dispose();
			targetsFollower.dispose();
		},
	};
}
