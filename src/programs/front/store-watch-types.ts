import type {Logger} from '../../adapters/system/index.js';
import type {
	Clock,
	Disposable,
	RandomSource,
	RowStore,
	Timers,
} from '../../common/index.js';
import type {
	StoreReadState,
	TableSyncTracker,
} from '../../decisions/fleet/index.js';
import type {
	ConfigurationState,
	ReadReason,
	RelayedConfiguration,
	RelayedRows,
	RelayedTables,
	TargetDirectory,
} from '../../decisions/serving/index.js';

/** What is kept up with the store. */
export type StoreWatchOptions = {
	readonly store: RowStore;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Time after which the store answers a reader without changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Age of what is known from which on a VM reads by itself, in milliseconds. */
	readonly maxAgeMs: () => number;
	/** True if this VM reads the store for others. */
	readonly isReader: (reading: StoreReadState) => boolean;
	/** True if nobody reads the store for others, as far as is known; the same parameter. */
	readonly areReadersLost: (reading: StoreReadState) => boolean;
	/** This VM can no longer read a table. */
	readonly onStoreLost: () => void;
	/** The store named these changes of the targets. */
	readonly onRows: (changes: RelayedRows) => void;
	/** The configuration has changed in the store; other VMs may be told what it is now. */
	readonly onConfigurationChange: (
		change: ConfigurationChange | undefined,
	) => void;
	/** A table was read from the store. */
	readonly onTableRead: (table: string, reason: ReadReason) => void;
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	readonly logger: Logger;
};

/** Keeps configuration and targets up with the store. */
export type StoreWatch = Disposable & {
	/** True once both tables have been read. */
	readonly isLoaded: boolean;
	readonly reading: StoreReadState;
	/** True while what is known of the targets is confirmed. */
	readonly areTargetsCurrent: boolean;
	/** True while a table cannot be read. */
	readonly isStoreLost: boolean;
	/** True once the targets are known, from the store or from a peer. */
	readonly hasTargets: boolean;
	/** Monotonic time since which both tables, as far as they are lost, were asked for, in milliseconds. */
	readonly lastAttemptMs: number;
	readonly configurationBelief: TableSyncTracker;
	readonly targetsBelief: TableSyncTracker;
	/** What was read, for peers that cannot; undefined before. */
	tables(): RelayedTables | undefined;
	/** Takes over what a peer has read, since this VM cannot. */
	applyPeerTables(tables: RelayedTables): void;
	/** Takes over changes that a peer has read. */
	applyPeerRows(changes: RelayedRows): void;
	/** Takes over a configuration that a peer has read. */
	applyPeerConfiguration(change: ConfigurationChange): void;
	/** @param answeredMs - monotonic time at which the store has told another VM of something newer */
	refreshConfiguration(answeredMs: number): void;
	/** The same for the targets; without a time nobody has told of anything. */
	refreshTargets(answeredMs?: number): void;
};

/** A change of the operator's row. */
export type ConfigurationChange = Omit<RelayedConfiguration, 'packed'> & {
	readonly text: string;
};
