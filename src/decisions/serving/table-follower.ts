import {
	type Clock,
	type Disposable,
	type RandomSource,
	type RowChange,
	type RowStore,
	type TableSnapshot,
	type Timers,
	toProblem,
	type ProblemError,
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
	/** @param previousChangeVersion - version of the newest change that was known before */
	onChanges(changes: readonly RowChange[], previousChangeVersion: number): void;
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

/** Backoff after a failed read. Readers retry sooner: they detect the end of an outage for all VMs. */
const readerBackoff = {minMs: 150, maxMs: 1000} as const;
const nonReaderBackoff = {minMs: 500, maxMs: 4000} as const;
/** Longest time between two checks whether a read is due, in milliseconds. */
const maxPauseMs = 1000;
/** Shortest time between two such checks while no read is due, in milliseconds. */
const minPauseMs = 50;

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
	/** Makes the next read return the whole table. */
	reset(): void;
};

/** Starts to follow a table. */
export function followTable(
	options: TableFollowerOptions,
	listener: TableListener,
): TableFollower {
	const {store, timers, random, clock, table, syncTracker} = options;
	let isDisposed = false;
	let failures = 0;
	let needsSnapshot = true;
	let isReadRequested = false;
	/** Ends the current pause. */
	let wake: (() => void) | undefined;
	let lastAttemptMs = -Infinity;
	/** Monotonic time before which the store is not read again, in milliseconds. */
	let nextAttemptMs = -Infinity;

	const handleSuccess = () => {
		if (failures > 0) {
			failures = 0;
			listener.onRegained();
		}
	};

	/**
	 * Calls the listener. If it throws, the whole table is read next, since the changes that it did not
	 * process would not be delivered again.
	 */
	const deliver = (notify: () => void) => {
		try {
			notify();
		} catch (error) {
			needsSnapshot = true;
			throw error;
		}
	};

	const readAll = async () => {
		const snapshot = await store.snapshot(table);
		if (isDisposed) {
			return;
		}

		handleSuccess();
		if (snapshot.version < syncTracker.version) {
			// The read is stale: a newer version is already known.
			return;
		}

		needsSnapshot = false;
		syncTracker.recordRead(snapshot.version, snapshot.version);
		deliver(() => {
			listener.onSnapshot(snapshot);
		});
	};

	const readChanges = async (waitMs: number) => {
		const afterVersion = syncTracker.version;
		const previousChangeVersion = syncTracker.state.changeVersion;
		const {changes, version} = await store.changes(table, afterVersion, waitMs);
		if (isDisposed) {
			return;
		}

		handleSuccess();
		const newestVersion = Math.max(
			0,
			...changes.map((change) => change.version),
		);
		syncTracker.recordRead(Math.max(afterVersion, version), newestVersion);
		if (changes.length > 0) {
			deliver(() => {
				listener.onChanges(changes, previousChangeVersion);
			});
		}
	};

	const handleFailure = (problem: ProblemError) => {
		if (problem.type === 'table-history-lost') {
			needsSnapshot = true;
			return;
		}

		failures++;
		if (failures === 1) {
			listener.onLost(problem);
		}
	};

	const isDue = () =>
		needsSnapshot ||
		isReadRequested ||
		options.isReader() ||
		syncTracker.ageMs > options.maxAgeMs();

	const pause = async (pauseMs: number) =>
		new Promise<void>((resolve) => {
			const timer = timers.after(pauseMs, resolve);
			wake = () => {
				timer.dispose();
				resolve();
			};
		});

	const currentReadReason = (): ReadReason => {
		if (needsSnapshot) {
			return 'snapshot';
		}

		if (options.isReader()) {
			return 'reader';
		}

		return isReadRequested ? 'missing' : 'age';
	};

	const readOnce = async () => {
		const reason = currentReadReason();
		isReadRequested = false;
		try {
			await (reason === 'snapshot'
				? readAll()
				: readChanges(reason === 'reader' ? options.waitMs() : 0));
			listener.onRead(reason);
		} catch (error) {
			if (!isDisposed) {
				handleFailure(toProblem(error, 'table-unavailable'));
			}
		}
	};

	const backoffMs = () => {
		if (failures === 0) {
			return 0;
		}

		// Changes from other VMs can't be applied before the first snapshot, so it is retried as soon as by a reader.
		const {minMs, maxMs} =
			needsSnapshot || options.isReader() ? readerBackoff : nonReaderBackoff;
		return (
			Math.min(maxMs, minMs * 2 ** (failures - 1)) * (0.5 + random.nextUnit())
		);
	};

	/** Reads if a read is due, otherwise pauses. */
	const step = async () => {
		if (!isDue()) {
			// Other VMs relay the table, so that the store counts as available.
			handleSuccess();
			const untilMaxAgeMs = options.maxAgeMs() - syncTracker.ageMs;
			await pause(Math.min(maxPauseMs, Math.max(minPauseMs, untilMaxAgeMs)));
			return;
		}

		const startedMs = clock.nowMs();
		// A VM that has become a reader waits no longer than the backoff of readers.
		const dueMs = options.isReader()
			? Math.min(nextAttemptMs, lastAttemptMs + readerBackoff.maxMs)
			: nextAttemptMs;
		if (startedMs < dueMs) {
			await pause(Math.min(maxPauseMs, dueMs - startedMs));
			return;
		}

		await readOnce();
		lastAttemptMs = clock.nowMs();
		nextAttemptMs = Math.max(
			lastAttemptMs + backoffMs(),
			startedMs + options.minIntervalMs,
		);
	};

	const run = async () => {
		for (;;) {
			if (isDisposed) {
				return;
			}

			try {
				await step();
			} catch (error) {
				options.onUnexpected(error);
				await pause(readerBackoff.minMs);
			}
		}
	};

	void run();
	return {
		get lastAttemptMs() {
			return lastAttemptMs;
		},
		refresh(reportedReadMs) {
			if (reportedReadMs > lastAttemptMs) {
				// The store is available again; the random delay keeps the VMs from reading it all at once.
				const earliestMs = Math.max(
					clock.nowMs() + random.nextUnit() * readerBackoff.minMs,
					lastAttemptMs + options.minIntervalMs,
				);
				nextAttemptMs = Math.min(nextAttemptMs, earliestMs);
			}

			// No read of changes is needed while the whole table is due. If that read still lacks the changes,
			// the next report of them requests a read.
			isReadRequested ||= !needsSnapshot;
			wake?.();
		},
		reset() {
			needsSnapshot = true;
			wake?.();
		},
		dispose() {
			isDisposed = true;
			wake?.();
		},
	};
}
