import type {StoreRevision} from './store-revision.js';

/** A row of the platform's store. */
export type StoredRow = {
	readonly key: string;
	readonly value: Uint8Array;
	/** Revision of the last write of the row, with the era of the read that returned it. */
	readonly revision: StoreRevision;
};

/** A change of a row: a write, or a removal if `value` is undefined. */
export type RowChange = {
	readonly key: string;
	readonly value: Uint8Array | undefined;
	readonly revision: StoreRevision;
};

/** All rows of a table. Some may be newer than `revision`, so the changes from there may repeat them. */
export type TableSnapshot = {
	readonly rows: readonly StoredRow[];
	/** Revision from which to follow the table. */
	readonly revision: StoreRevision;
};

/** Changes of a table, in the order of their versions. */
export type TableChanges = {
	readonly changes: readonly RowChange[];
	/**
	 * Revision from which to follow the table. If its era is newer than that of the previous one, the store
	 * was restored in between and changes are missing.
	 */
	readonly revision: StoreRevision;
};

/**
 * Client of the platform's store, which the front daemon reads. A table is read as a snapshot, then
 * followed by its changes. The entry daemon uses `TableService` instead.
 *
 * Failures are `ProblemError`s: `table-unavailable`, or `table-history-lost` if the store cannot return
 * the changes since the given version or a snapshot of one era, so that a new snapshot must be read.
 */
export abstract class RowStore {
	/** Reads a whole table. */
	abstract snapshot(table: string): Promise<TableSnapshot>;

	/**
	 * Waits for changes of a table (long polling).
	 * @param afterVersion - version up to which the caller has the changes
	 * @param waitMs - time after which an empty response is returned, in milliseconds
	 */
	abstract changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges>;

	/**
	 * Writes one row unconditionally. Rejects with `table-outcome-unknown` if the write may have taken
	 * effect or may still do so.
	 */
	abstract put(table: string, key: string, value: Uint8Array): Promise<void>;
}
