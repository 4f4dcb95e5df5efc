import type {Logger} from '../../adapters/system/index.js';
import type {
	Clock,
	Disposable,
	Event,
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
	EvacuationList,
	ReadReason,
	RelayedConfiguration,
	RelayedRows,
	RelayedTables,
	TargetDirectory,
} from '../../decisions/serving/index.js';
import type {EvacuatedZones} from '../../decisions/target-eligibility/index.js';

export type StoreWatchOptions = {
	/** The platform's table store. */
	readonly store: RowStore;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Time after which the store responds to a reader's long poll without changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Age of a table at which a VM that is no store reader reads it itself, in milliseconds. */
	readonly maxAgeMs: () => number;
	/**
	 * True if this VM is a store reader: one of those that read the store for all.
	 * @param readState - whether this VM itself reads the store
	 */
	readonly isStoreReader: (readState: StoreReadState) => boolean;
	/**
	 * True if all store readers are known to have lost the store.
	 * @param readState - whether this VM itself reads the store
	 */
	readonly haveReadersLostStore: (readState: StoreReadState) => boolean;
	/** Called when this VM can no longer read a table. */
	readonly onStoreLost: () => void;
	/** Called with changes of the targets that this VM has read from the store. */
	readonly onTargetRows: (changes: RelayedRows) => void;
	/**
	 * Called when this VM has read the operator's table.
	 * @param change - the newest configuration, to be relayed; undefined after the read of the whole table
	 * and while no configuration is known
	 */
	readonly onConfigurationChange: (
		change: ConfigurationChange | undefined,
	) => void;
	/** Called when the evacuated zones have changed by a read of this VM, before `onConfigurationChange`. */
	readonly onEvacuationsChange: (list: EvacuationList) => void;
	/** Called after each read of a table from the store. */
	readonly onTableRead: (table: string, reason: ReadReason) => void;
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	/** Filled with the evacuated zones. */
	readonly evacuatedZones: EvacuatedZones;
	readonly logger: Logger;
};

/**
 * Keeps the configuration and the targets of this VM in sync with the store, by its own reads and by
 * what peers relay.
 */
export type StoreWatch = Disposable & {
	/**
	 * True once a configuration is in force and the targets are known, from the store or from a peer, and
	 * `needsPeerComparison` is false.
	 */
	readonly isLoaded: boolean;
	readonly readState: StoreReadState;
	/**
	 * True while the list of targets has been confirmed recently enough that this VM learns of leaving
	 * targets in time.
	 */
	readonly areTargetsCurrent: boolean;
	/** True while a table cannot be read. */
	readonly isStoreLost: boolean;
	/** True once the targets are known, from the store or from a peer. */
	readonly hasTargets: boolean;
	/**
	 * Monotonic time of the last attempt to read a lost table (the earlier one if both are lost), in
	 * milliseconds; Infinity if none is lost.
	 */
	readonly lastAttemptMs: number;
	/**
	 * Time since the state of both tables was confirmed, in milliseconds; Infinity before both were. After a
	 * pause of this VM, requests wait until it is shorter than the time since the pause.
	 */
	readonly confirmedAgeMs: number;
	/** Fires when the state of a table is confirmed. */
	readonly onConfirmed: Event<void>;
	/**
	 * True while this VM has started from a store that has been restored from an older copy, and no peer has
	 * told yet what the copy lacks.
	 */
	readonly needsPeerComparison: boolean;
	/** Highest operator's version received, also of a refused configuration; 0 before the first. */
	readonly configurationVersion: number;
	readonly configurationSync: TableSyncTracker;
	readonly targetsSync: TableSyncTracker;
	/** Newest content of both tables, for peers that cannot read them; undefined while one is missing. */
	tables(): RelayedTables | undefined;
	/**
	 * Applies the configuration, the evacuated zones and the departures of a peer unless this VM has newer
	 * ones, and its targets if this VM also cannot read that table.
	 */
	applyPeerTables(tables: RelayedTables): void;
	/** Applies changes of the targets that a peer has read; reads the table if earlier ones are missing. */
	applyPeerRows(changes: RelayedRows): void;
	/** Applies a configuration that a peer has read; reads the table if earlier changes are missing. */
	applyPeerConfiguration(change: ConfigurationChange): void;
	/** Applies the evacuated zones that a peer has read, unless this VM has newer ones. */
	applyPeerEvacuations(list: EvacuationList): void;
	/**
	 * Reads the operator's table soon.
	 * @param respondedMs - monotonic time at which the store reported a newer version to another VM
	 */
	refreshConfiguration(respondedMs: number): void;
	/** Reads the targets' table soon, as `refreshConfiguration` does for the operator's. */
	refreshTargets(respondedMs: number): void;
	/**
	 * Reads the tables as a whole soon that are known in an older era, since the store has been restored.
	 * @param era - era of the store as another VM knows it
	 * @param respondedMs - as for `refreshConfiguration`
	 */
	restart(era: number, respondedMs: number): void;
	/** Reads both tables soon to confirm their state. */
	refreshAll(): void;
};

/** A change of the configuration, as an uncompressed text. */
export type ConfigurationChange = Omit<RelayedConfiguration, 'packed'> & {
	readonly text: string;
};
