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

/** Whether a table was read, and can be read now. */
type TableState = 'lost' | 'read' | 'unread';

const minConfigurationIntervalMs = 100;
/** Several targets change at once; their changes are read together. */
const minTargetsIntervalMs = 150;

/** Starts to follow the operator's table and that of the targets. */
export function watchStore(options: StoreWatchOptions): StoreWatch {
	const {configuration, directory, logger, clock} = options;
	const decoder = new TextDecoder();
	const configurationBelief = createTableSyncTracker(clock);
	const targetsBelief = createTableSyncTracker(clock);
	let hasTargets = false;
	let configurationState: TableState = 'unread';
	let targetsState: TableState = 'unread';

	const reading = (): StoreReadState => {
		if (targetsState === 'lost' || configurationState === 'lost') {
			return 'lost';
		}

		return targetsState === 'read' && options.isReader('reading')
			? 'reading'
			: 'idle';
	};

	const loader = createConfigurationLoader({
		timers: options.timers,
		configuration,
		logger,
	});

	const entryOf = (id: string, value: Uint8Array): TargetEntry | undefined => {
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

	const follow = (table: string, belief: TableSyncTracker) => ({
		...options,
		table,
		syncTracker: belief,
		isReader: () => options.isReader(reading()),
		onUnexpected: createUnexpectedErrorLog(logger),
	});

	const operatorTable = 'store, operator table';
	const operator = followTable(
		{
			...follow(tableNames.operator, configurationBelief),
			minIntervalMs: minConfigurationIntervalMs,
		},
		{
			...readListener(operatorTable, configurationBelief),
			onSnapshot({rows}) {
				configurationState = 'read';
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

				const {changeVersion} = configurationBelief.state;
				const {newestText} = loader;
				options.onConfigurationChange(
					newestText === undefined
						? undefined
						: {afterVersion, version: changeVersion, text: newestText},
				);
			},
			onLost(problem) {
				configurationState = 'lost';
				options.onStoreLost();
				logLost(operatorTable, problem);
			},
			onRegained() {
				configurationState = 'read';
				logRegained(operatorTable, configurationBelief);
			},
		},
	);

	const takeSnapshot = (rows: readonly StoredRow[], version: number) => {
		const entries = new Map<string, TargetEntry>();
		for (const row of rows) {
			const entry = entryOf(row.key, row.value);
			if (entry) {
				entries.set(row.key, entry);
			}
		}

		directory.reset(entries, version);
	};

	const targetsTable = 'store, targets table';
	const targets = followTable(
		{
			...follow(tableNames.targets, targetsBelief),
			minIntervalMs: minTargetsIntervalMs,
		},
		{
			...readListener(targetsTable, targetsBelief),
			onSnapshot({rows, version}) {
				hasTargets = true;
				targetsState = 'read';
				takeSnapshot(rows, version);
			},
			onChanges(changes, afterVersion) {
				const rows = changes.map(({key, value, version}) => ({
					targetId: key,
					version,
					// An entry that cannot be read names no target, as if it were absent.
					entry: value && entryOf(key, value),
				}));
				for (const {targetId, entry, version} of rows) {
					directory.set(targetId, entry, version);
				}

				const {changeVersion} = targetsBelief.state;
				options.onRows({afterVersion, version: changeVersion, rows});
			},
			onLost(problem) {
				targetsState = 'lost';
				options.onStoreLost();
				directory.storeLost();
				logLost(targetsTable, problem);
			},
			onRegained() {
				targetsState = 'read';
				directory.storeRegained();
				logRegained(targetsTable, targetsBelief);
			},
		},
	);

	return {
		get isLoaded() {
			return hasTargets && configuration.current !== undefined;
		},
		get reading() {
			return reading();
		},
		get isStoreLost() {
			return targetsState === 'lost' || configurationState === 'lost';
		},
		get hasTargets() {
			return hasTargets;
		},
		get lastAttemptMs() {
			return Math.min(
				configurationState === 'lost' ? operator.lastAttemptMs : Infinity,
				targetsState === 'lost' ? targets.lastAttemptMs : Infinity,
			);
		},
		get areTargetsCurrent() {
			// What readers confirmed shortly before they lost the store is still young then.
			const limitMs = options.areReadersLost(reading())
				? options.waitMs()
				: options.maxAgeMs();
			return targetsState === 'read' && targetsBelief.ageMs <= limitMs;
		},
		configurationBelief,
		targetsBelief,
		tables() {
			const {version} = targetsBelief;
			return hasTargets && loader.newestText !== undefined
				? {
						configuration: loader.newestText,
						configurationVersion: configurationBelief.version,
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
			if (configurationVersion >= configurationBelief.version) {
				loader.load(tables.configuration, configurationVersion, 'peer');
				configurationBelief.adoptVersion(configurationVersion);
			}

			if (
				targetsState === 'read' ||
				tables.targetsVersion < targetsBelief.version
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
			targetsBelief.adoptVersion(tables.targetsVersion);
			hasTargets = true;
		},
		applyPeerRows(changes) {
			for (const {targetId, entry, version} of changes.rows) {
				directory.set(targetId, entry, version);
			}

			if (
				!targetsBelief.recordRelayedChanges(
					changes.afterVersion,
					changes.version,
				)
			) {
				targets.refresh(clock.nowMs());
			}
		},
		applyPeerConfiguration({afterVersion, version, text}) {
			const isNew = version > configurationBelief.version;
			if (!configurationBelief.recordRelayedChanges(afterVersion, version)) {
				operator.refresh(clock.nowMs());
			} else if (isNew) {
				loader.load(text, version, 'peer');
			}
		},
		refreshConfiguration(answeredMs) {
			operator.refresh(answeredMs);
		},
		refreshTargets(answeredMs = -Infinity) {
			targets.refresh(answeredMs);
		},
		dispose() {
			loader.dispose();
			operator.dispose();
			targets.dispose();
		},
	};
}
