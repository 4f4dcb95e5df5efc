import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	type Disposable,
	type RandomSource,
	type RowStore,
	type StoredRow,
	type TargetEntry,
	type Timers,
	toProblem,
} from '../../common/index.js';
import {
	type ConfigurationState,
	followTable,
	type RelayedRow,
	type RelayedTables,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {
	decodeConfiguration,
	decodeTargetEntry,
	tableNames,
} from '../../platform/index.js';

/** What is kept up with the store. */
export type StoreWatchOptions = {
	readonly store: RowStore;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Time after which the store answers a wait without changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Interval at which a VM that hears of changes from a relay reads the targets itself, in milliseconds. */
	readonly followerIntervalMs: () => number;
	/** True if this VM follows the targets closely and relays their changes. */
	readonly isRelay: () => boolean;
	/** The store named these rows. */
	readonly onRows: (rows: readonly RelayedRow[]) => void;
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	readonly logger: Logger;
};

/** Keeps configuration and targets up with the store. */
export type StoreWatch = Disposable & {
	/** True once both tables have been read. */
	readonly isComplete: boolean;
	/** True while the table of the targets can be read. */
	readonly readsTargets: boolean;
	/** True while a table cannot be read. */
	readonly isStoreLost: boolean;
	/** True once the targets are known, from the store or from a peer. */
	readonly hasTargets: boolean;
	/** Monotonic time since which the operator's table cannot be read, or undefined if it can. */
	readonly configurationLostMs: number | undefined;
	/** What was read, for peers that cannot; undefined before. */
	tables(): RelayedTables | undefined;
	/** Takes over what a peer has read, since this VM cannot. */
	takeTables(tables: RelayedTables): void;
	/** Reads the configuration again, since a newer one is in force elsewhere. */
	readConfiguration(): void;
};

/** Whether a table was read, and can be read now. */
type TableState = 'lost' | 'read' | 'unread';

const minConfigurationIntervalMs = 20;
/** Several targets change at once; their changes are read together. */
const relayIntervalMs = 150;

/** Starts to follow the operator's table and that of the targets. */
export function watchStore(options: StoreWatchOptions): StoreWatch {
	const {configuration, directory, logger, clock} = options;
	const decoder = new TextDecoder();
	let hasTargets = false;
	let targetsState: TableState = 'unread';
	let configurationLostMs: number | undefined;
	let configurationText: string | undefined;
	let targetsVersion = 0;

	const acceptConfiguration = (text: string, rowVersion: number | 'peer') => {
		try {
			const decoded = decodeConfiguration(text);
			const accepted = configuration.accept(decoded);
			if (accepted) {
				configurationText = text;
			}

			logger.info('configuration read', {
				version: decoded.version,
				rowVersion,
				accepted,
				routes: decoded.routes.length,
			});
		} catch (error) {
			const {type, detail, field} = toProblem(error);
			logger.warn('configuration refused', {type, detail, field, rowVersion});
		}
	};

	const entryOf = (id: string, value: Uint8Array): TargetEntry | undefined => {
		try {
			return decodeTargetEntry(id, decoder.decode(value));
		} catch (error) {
			const {type, detail, field} = toProblem(error);
			logger.warn('target entry refused', {target: id, type, detail, field});
			return undefined;
		}
	};

	const follow = (table: string, minIntervalMs: () => number) => ({
		...options,
		table,
		minIntervalMs,
	});

	const operator = followTable(
		follow(tableNames.operator, () => minConfigurationIntervalMs),
		{
			onSnapshot({rows}) {
				for (const row of rows) {
					if (row.key === tableNames.configurationKey) {
						acceptConfiguration(decoder.decode(row.value), row.version);
					}
				}
			},
			onChanges(changes) {
				for (const {key, value, version} of changes) {
					if (key === tableNames.configurationKey && value) {
						acceptConfiguration(decoder.decode(value), version);
					}
				}
			},
			onLost(problem) {
				configurationLostMs = clock.nowMs();
				logger.warn('dependency lost', {
					dependency: 'store, operator table',
					type: problem.type,
					detail: problem.message,
				});
			},
			onRegained() {
				configurationLostMs = undefined;
				logger.info('dependency regained', {
					dependency: 'store, operator table',
				});
			},
		},
	);

	const takeRows = (rows: readonly StoredRow[], version: number) => {
		const entries = new Map<string, TargetEntry>();
		for (const row of rows) {
			const entry = entryOf(row.key, row.value);
			if (entry) {
				entries.set(row.key, entry);
			}
		}

		directory.reset(entries, version);
	};

	const targets = followTable(
		follow(tableNames.targets, () =>
			options.isRelay() ? relayIntervalMs : options.followerIntervalMs(),
		),
		{
			onSnapshot({rows, version}) {
				hasTargets = true;
				targetsState = 'read';
				targetsVersion = version;
				takeRows(rows, version);
			},
			onChanges(changes) {
				const rows = changes.map(({key, value, version}) => ({
					targetId: key,
					version,
					// An entry that cannot be read names no target, as if it were absent.
					entry: value && entryOf(key, value),
				}));
				for (const {targetId, entry, version} of rows) {
					directory.set(targetId, entry, version);
					targetsVersion = Math.max(targetsVersion, version);
				}

				options.onRows(rows);
			},
			onLost(problem) {
				targetsState = 'lost';
				directory.storeLost();
				logger.warn('dependency lost', {
					dependency: 'store, targets table',
					type: problem.type,
					detail: problem.message,
				});
			},
			onRegained() {
				targetsState = 'read';
				directory.storeRegained();
				logger.info('dependency regained', {
					dependency: 'store, targets table',
				});
			},
		},
	);

	return {
		get isComplete() {
			return hasTargets && configuration.current !== undefined;
		},
		get isStoreLost() {
			return targetsState === 'lost' || configurationLostMs !== undefined;
		},
		get hasTargets() {
			return hasTargets;
		},
		get readsTargets() {
			return targetsState === 'read';
		},
		get configurationLostMs() {
			return configurationLostMs;
		},
		tables() {
			return hasTargets && configurationText !== undefined
				? {
						configuration: configurationText,
						targets: [...directory.all()].map(({entry}) => ({
							targetId: entry.id,
							version: targetsVersion,
							entry,
						})),
						targetsVersion,
					}
				: undefined;
		},
		takeTables(tables) {
			acceptConfiguration(tables.configuration, 'peer');
			if (targetsState === 'read') {
				return;
			}

			const entries = new Map<string, TargetEntry>();
			for (const {targetId, entry} of tables.targets) {
				if (entry) {
					entries.set(targetId, entry);
				}
			}

			directory.reset(entries, tables.targetsVersion);
			targetsVersion = Math.max(targetsVersion, tables.targetsVersion);
			hasTargets = true;
		},
		readConfiguration() {
			operator.refresh();
		},
		dispose() {
			operator.dispose();
			targets.dispose();
		},
	};
}
