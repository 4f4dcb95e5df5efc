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

/** Receives a table and its changes. */
export type TableListener = {
	/** The whole table, at first and whenever changes may have been missed. */
	onSnapshot(snapshot: TableSnapshot): void;
	onChanges(changes: readonly RowChange[]): void;
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
	/** Time after which the store answers without changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Shortest time between the starts of two calls, in milliseconds. */
	readonly minIntervalMs: () => number;
};

const minBackoffMs = 150;
const maxBackoffMs = 1000;
const minRefreshMs = 500;

/** A table that is followed. */
export type TableFollower = Disposable & {
	/** Reads the whole table now, because something newer than the last read is known to exist. */
	refresh(): void;
};

/** Follows a table until disposed. */
export function followTable(
	options: TableFollowerOptions,
	listener: TableListener,
): TableFollower {
	const {store, timers, random, clock, table} = options;
	let stopped = false;
	let failures = 0;
	let version: number | undefined;
	let newestVersion = 0;
	let refreshedMs = -Infinity;

	const succeeded = () => {
		if (failures > 0) {
			failures = 0;
			listener.onRegained();
		}
	};

	const readAll = async () => {
		const snapshot = await store.snapshot(table);
		if (snapshot.version < newestVersion) {
			// A stale read; what is known is newer.
			return;
		}

		succeeded();
		version = snapshot.version;
		newestVersion = snapshot.version;
		listener.onSnapshot(snapshot);
	};

	const readChanges = async (afterVersion: number) => {
		const changes = await store.changes(table, afterVersion, options.waitMs());
		succeeded();
		version = Math.max(afterVersion, changes.version);
		newestVersion = Math.max(newestVersion, version);
		if (!stopped && changes.changes.length > 0) {
			listener.onChanges(changes.changes);
		}
	};

	const failed = (problem: ProblemError) => {
		if (problem.type === 'table-history-lost') {
			version = undefined;
			return;
		}

		failures++;
		if (failures === 1) {
			listener.onLost(problem);
		}
	};

	const run = async () => {
		for (;;) {
			if (stopped) {
				return;
			}

			const startedMs = clock.nowMs();
			try {
				await (version === undefined ? readAll() : readChanges(version));
			} catch (error) {
				failed(toProblem(error, 'table-unavailable'));
			}

			const backoffMs =
				failures === 0
					? 0
					: Math.min(maxBackoffMs, minBackoffMs * 2 ** (failures - 1)) *
						(0.5 + random.nextUnit());
			const spentMs = clock.nowMs() - startedMs;
			const pauseMs = Math.max(backoffMs, options.minIntervalMs() - spentMs);
			if (pauseMs > 0 && !stopped) {
				await timers.sleep(pauseMs);
			}
		}
	};

	void run();
	return {
		refresh() {
			const nowMs = clock.nowMs();
			if (nowMs - refreshedMs < minRefreshMs) {
				return;
			}

			refreshedMs = nowMs;

			readAll().catch((error: unknown) => {
				failed(toProblem(error, 'table-unavailable'));
			});
		},
		dispose() {
			stopped = true;
		},
	};
}
