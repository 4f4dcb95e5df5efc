import type {
	Clock,
	Disposable,
	ProblemError,
	RandomSource,
	RowChange,
	RowStore,
	StoreRevision,
	TableSnapshot,
	Timers,
} from '../../common/index.js';
import type {TableSyncTracker} from '../fleet/index.js';

/**
 * Why a table was read: its state is older than allowed, changes are missing, this VM is a reader, or
 * the whole table is needed.
 */
export type ReadReason = 'age' | 'missing' | 'reader' | 'snapshot';

/** Receives a table and its changes. */
export type TableListener = {
	/** Called with the whole table, at the start and whenever changes may have been missed. */
	onSnapshot(snapshot: TableSnapshot): void;
	/** @param previousChange - revision of the newest change that was known before */
	onChanges(changes: readonly RowChange[], previousChange: StoreRevision): void;
	/** Called after each successful read. */
	onRead(reason: ReadReason): void;
	/** Called on the first of a series of failed reads. */
	onLost(problem: ProblemError): void;
	/** Called when the table is known to be readable again, by an own read or a report of another VM. */
	onRegained(): void;
};

/** Options of a table follower. */
export type TableFollowerOptions = {
	readonly store: RowStore;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly table: string;
	/** Up to which version the table is known, by own reads and from other VMs. */
	readonly syncTracker: TableSyncTracker;
	/** True while this VM reads the store for the other VMs; otherwise it reads only what they do not relay. */
	readonly isReader: () => boolean;
	/** Longest time for which the store holds the read of a reader until there are changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Age of the known state above which a VM that is not a reader reads the table, in milliseconds. */
	readonly maxAgeMs: () => number;
	/** Shortest time between the starts of two reads, in milliseconds. */
	readonly minIntervalMs: number;
	/** Called with an unexpected error, such as one thrown by a listener; the table is still followed. */
	readonly onUnexpected: (error: unknown) => void;
};

/** Keeps a listener up to date with a table until disposed. */
export type TableFollower = Disposable & {
	/** Monotonic time at which the last read ended, in milliseconds; -Infinity before the first. */
	readonly lastAttemptMs: number;
	/**
	 * Reads soon, to get a newer version or to confirm the known one. A backoff ends early if another VM
	 * has read the store since the last attempt.
	 * @param reportedReadMs - monotonic time of that read, in milliseconds; -Infinity if none is known
	 */
	refresh(reportedReadMs: number): void;
	/**
	 * Reads the whole table soon, since another VM has reported a newer era of the store. A random delay keeps
	 * the VMs from reading it all at once.
	 * @param reportedReadMs - as for `refresh`
	 */
	restart(reportedReadMs: number): void;
	/** Called when the whole table has arrived from a peer: it is followed from there, and not read as a whole. */
	adopt(): void;
};
