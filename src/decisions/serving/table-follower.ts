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

/** Why a table was read: as a duty, as a whole, because changes are missing, or because it got too old. */
export type ReadReason = 'age' | 'missing' | 'reader' | 'snapshot';

/** Receives a table and its changes. */
export type TableListener = {
	/** The whole table, at first and whenever changes may have been missed. */
	onSnapshot(snapshot: TableSnapshot): void;
	/** @param afterVersion - newest change that was known before */
	onChanges(changes: readonly RowChange[], afterVersion: number): void;
	/** The store has answered. */
	onRead(reason: ReadReason): void;
	/** The store gives no answers, or refuses them. */
	onLost(problem: ProblemError): void;
	onRegained(): void;
};

/** How a table is followed. */
export type TableFollowerOptions = {
	readonly store: RowStore;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly table: string;
	/** What is known of the table, by own reads and from other VMs. */
	readonly syncTracker: TableSyncTracker;
	/** True while this VM reads the store for others; otherwise it reads only what they do not tell. */
	readonly isReader: () => boolean;
	/** Time after which the store answers a reader without changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Age from which on a VM that is no reader reads by itself, in milliseconds. */
	readonly maxAgeMs: () => number;
	/** Shortest time between the starts of two calls, in milliseconds. */
	readonly minIntervalMs: number;
	/** An error that neither the store nor a read explains. */
	readonly onUnexpected: (error: unknown) => void;
};

/** Waits after a failure, in milliseconds. The few readers find the end of an outage for all others. */
const readerBackoffMs = {least: 150, most: 1000} as const;
const othersBackoffMs = {least: 500, most: 4000} as const;
/** Longest time after which a VM looks whether it has to read, in milliseconds. */
const maxRestMs = 1000;
const minRestMs = 50;

/** A table that is followed. */
export type TableFollower = Disposable & {
	/** Monotonic time at which the store was last asked, in milliseconds; -Infinity before. */
	readonly lastAttemptMs: number;
	/**
	 * Reads soon, because something newer than the last read is known to exist.
	 * @param answeredMs - monotonic time at which the store has answered the VM that tells of it
	 */
	refresh(answeredMs: number): void;
	/** Forgets the changes, so that the whole table is read next. */
	reset(): void;
};

/** Follows a table until disposed. */
export function followTable(
	options: TableFollowerOptions,
	listener: TableListener,
): TableFollower {
	const {store, timers, random, clock, table, syncTracker} = options;
	let stopped = false;
	let failures = 0;
	let needsSnapshot = true;
	let isWanted = false;
	let wake: (() => void) | undefined;
	let readMs = -Infinity;
	/** Monotonic time before which the store is not asked again, in milliseconds. */
	let nextMs = -Infinity;

	const succeeded = () => {
		if (failures > 0) {
			failures = 0;
			listener.onRegained();
		}
	};

	/** What a listener did not take over whole would never come again. */
	const take = (tell: () => void) => {
		try {
			tell();
		} catch (error) {
			needsSnapshot = true;
			throw error;
		}
	};

	const readAll = async () => {
		const snapshot = await store.snapshot(table);
		if (stopped) {
			return;
		}

		succeeded();
		if (snapshot.version < syncTracker.version) {
			// A stale read; what is known is newer.
			return;
		}

		needsSnapshot = false;
		syncTracker.recordRead(snapshot.version, snapshot.version);
		take(() => {
			listener.onSnapshot(snapshot);
		});
	};

	const readChanges = async (waitMs: number) => {
		const afterVersion = syncTracker.version;
		const knownChange = syncTracker.state.changeVersion;
		const {changes, version} = await store.changes(table, afterVersion, waitMs);
		if (stopped) {
			return;
		}

		succeeded();
		const newest = Math.max(0, ...changes.map((change) => change.version));
		syncTracker.recordRead(Math.max(afterVersion, version), newest);
		if (changes.length > 0) {
			take(() => {
				listener.onChanges(changes, knownChange);
			});
		}
	};

	const failed = (problem: ProblemError) => {
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
		isWanted ||
		options.isReader() ||
		syncTracker.ageMs > options.maxAgeMs();

	const rest = async (restMs: number) =>
		new Promise<void>((resolve) => {
			const timer = timers.after(restMs, resolve);
			wake = () => {
				timer.dispose();
				resolve();
			};
		});

	const reasonNow = (): ReadReason => {
		if (needsSnapshot) {
			return 'snapshot';
		}

		if (options.isReader()) {
			return 'reader';
		}

		return isWanted ? 'missing' : 'age';
	};

	const readOnce = async () => {
		const reason = reasonNow();
		isWanted = false;
		try {
			await (reason === 'snapshot'
				? readAll()
				: readChanges(reason === 'reader' ? options.waitMs() : 0));
			listener.onRead(reason);
		} catch (error) {
			if (!stopped) {
				failed(toProblem(error, 'table-unavailable'));
			}
		}
	};

	const backoffMs = () => {
		if (failures === 0) {
			return 0;
		}

		// A VM that knows nothing yet cannot be told of changes either.
		const {least, most} =
			needsSnapshot || options.isReader() ? readerBackoffMs : othersBackoffMs;
		return (
			Math.min(most, least * 2 ** (failures - 1)) * (0.5 + random.nextUnit())
		);
	};

	/** Reads if it is time to, or rests. */
	const step = async () => {
		if (!isDue()) {
			// Other VMs tell what the store says.
			succeeded();
			const freshMs = options.maxAgeMs() - syncTracker.ageMs;
			await rest(Math.min(maxRestMs, Math.max(minRestMs, freshMs)));
			return;
		}

		const startedMs = clock.nowMs();
		// A VM that becomes a reader does not wait as long as others do.
		const dueMs = options.isReader()
			? Math.min(nextMs, readMs + readerBackoffMs.most)
			: nextMs;
		if (startedMs < dueMs) {
			await rest(Math.min(maxRestMs, dueMs - startedMs));
			return;
		}

		await readOnce();
		readMs = clock.nowMs();
		nextMs = Math.max(readMs + backoffMs(), startedMs + options.minIntervalMs);
	};

	const run = async () => {
		for (;;) {
			if (stopped) {
				return;
			}

			try {
				await step();
			} catch (error) {
				options.onUnexpected(error);
				await rest(readerBackoffMs.least);
			}
		}
	};

	void run();
	return {
		get lastAttemptMs() {
			return readMs;
		},
		refresh(answeredMs) {
			if (answeredMs > readMs) {
				// The store is there, if it was not before; not all VMs are to ask it at once.
				const soonMs = Math.max(
					clock.nowMs() + random.nextUnit() * readerBackoffMs.least,
					readMs + options.minIntervalMs,
				);
				nextMs = Math.min(nextMs, soonMs);
			}

			// The whole table, which is asked for already, holds the changes or the next VM that tells of them.
			isWanted ||= !needsSnapshot;
			wake?.();
		},
		reset() {
			needsSnapshot = true;
			wake?.();
		},
		dispose() {
			stopped = true;
			wake?.();
		},
	};
}
