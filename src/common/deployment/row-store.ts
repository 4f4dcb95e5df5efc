/** A row of the platform's store. */
export type StoredRow = {
	readonly key: string;
	readonly value: Uint8Array;
	/** Value of the store's global transaction counter at the last write of the row. */
	readonly version: number;
};

/** A change of a row: a write, or a removal if `value` is undefined. */
export type RowChange = {
	readonly key: string;
	readonly value: Uint8Array | undefined;
	readonly version: number;
};

/** All rows of a table. Some may be newer than `version`, so the changes from there may repeat them. */
export type TableSnapshot = {
	readonly rows: readonly StoredRow[];
	/** Version to pass to `changes` to follow the table from this snapshot. */
	readonly version: number;
};

/** Changes of a table, in the order of their versions. */
export type TableChanges = {
	readonly changes: readonly RowChange[];
	/** Version to pass to the next call of `changes`. */
	readonly version: number;
};

/**
 * Client of the platform's store, which the front daemon reads. A table is read as a snapshot, then
 * followed by its changes. The entry daemon uses `TableService` instead.
 *
 * Failures are `ProblemError`s: `table-unavailable`, or `table-history-lost` if the store has dropped
 * the changes since the given version, so that a new snapshot must be read.
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
