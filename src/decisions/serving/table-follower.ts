import {
	compareRevisions,
	ProblemError,
	type StoreRevision,
	toProblem,
} from '../../common/index.js';
import type {
	ReadReason,
	TableFollower,
	TableFollowerOptions,
	TableListener,
} from './table-follower-types.js';

export type * from './table-follower-types.js';

/** Backoff after a failed read. Readers retry sooner: they detect the end of an outage for all VMs. */
const readerBackoff = {minMs: 150, maxMs: 1000} as const;
const nonReaderBackoff = {minMs: 500, maxMs: 4000} as const;
/** Longest time between two checks whether a read is due, in milliseconds. */
const maxPauseMs = 1000;
/** Shortest time between two such checks while no read is due, in milliseconds. */
const minPauseMs = 50;

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

	/** @param known - revision that was known when the read started */
	const requireCurrentEra = (read: StoreRevision, known: StoreRevision) => {
		if (read.era < known.era) {
			throw new ProblemError(
				'table-unavailable',
				`the store responded with era ${read.era}, older than the known ${known.era}`,
			);
		}
	};

	const readAll = async () => {
		const known = syncTracker.revision;
		const snapshot = await store.snapshot(table);
		if (isDisposed) {
			return;
		}

		requireCurrentEra(snapshot.revision, known);
		handleSuccess();
		if (compareRevisions(snapshot.revision, syncTracker.revision) < 0) {
			// The read is stale: a newer revision is already known.
			return;
		}

		needsSnapshot = false;
		syncTracker.recordSnapshot(snapshot.revision);
		deliver(() => {
			listener.onSnapshot(snapshot);
		});
	};

	const readChanges = async (waitMs: number) => {
		const after = syncTracker.revision;
		const {changeVersion} = syncTracker.state;
		const {changes, revision} = await store.changes(
			table,
			after.version,
			waitMs,
		);
		if (isDisposed) {
			return;
		}

		requireCurrentEra(revision, after);
		handleSuccess();
		if (revision.era > after.era) {
			// The store was restored from an older copy, and versions were issued again: the response does not
			// hold all that has changed since `after`.
			needsSnapshot = true;
			return;
		}

		if (revision.era < syncTracker.revision.era) {
			// The read is stale: the table of a newer era has arrived from a peer meanwhile.
			return;
		}

		const newestVersion = Math.max(
			0,
			...changes.map((change) => change.revision.version),
		);
		syncTracker.recordChanges(revision, newestVersion);
		if (changes.length > 0) {
			deliver(() => {
				listener.onChanges(changes, {era: after.era, version: changeVersion});
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

	/** Earliest start of a read that all VMs get a reason for at the same time. */
	const spreadMs = () =>
		Math.max(
			clock.nowMs() + random.nextUnit() * readerBackoff.minMs,
			lastAttemptMs + options.minIntervalMs,
		);

	void run();
	return {
		get lastAttemptMs() {
			return lastAttemptMs;
		},
		refresh(reportedReadMs) {
			if (reportedReadMs > lastAttemptMs) {
				// The store is available again.
				nextAttemptMs = Math.min(nextAttemptMs, spreadMs());
			}

			// No read of changes is needed while the whole table is due. If that read still lacks the changes,
			// the next report of them requests a read.
			isReadRequested ||= !needsSnapshot;
			wake?.();
		},
		restart(reportedReadMs) {
			const hasFailed = failures > 0;
			if (hasFailed ? reportedReadMs > lastAttemptMs : !needsSnapshot) {
				const earliestMs = spreadMs();
				nextAttemptMs = hasFailed
					? Math.min(nextAttemptMs, earliestMs)
					: earliestMs;
			}

			needsSnapshot = true;
			wake?.();
		},
		adopt() {
			needsSnapshot = false;
			wake?.();
		},
		dispose() {
			isDisposed = true;
			wake?.();
		},
	};
}
