/** A row of the platform's store. */
export type StoredRow = {
	readonly key: string;
	readonly value: Uint8Array;
	/** From the store's single counter of transactions. */
	readonly version: number;
};

/** A row that changed, or was removed if it has no value. */
export type RowChange = {
	readonly key: string;
	readonly value: Uint8Array | undefined;
	readonly version: number;
};

/** All rows of a table at one moment. */
export type TableSnapshot = {
	readonly rows: readonly StoredRow[];
	/** Version of the store at that moment; changes follow from here. */
	readonly version: number;
};

/** Changes of a table, in order. */
export type TableChanges = {
	readonly changes: readonly RowChange[];
	/** Version from which the next changes follow. */
	readonly version: number;
};

/**
 * Tables of the platform's store, read as a snapshot and followed from there.
 *
 * Failures are `ProblemError`s: `table-unavailable`, or `table-history-lost` if the changes since a
 * version are gone and the table must be read again.
 */
export abstract class RowStore {
	/** Reads a whole table. */
	abstract snapshot(table: string): Promise<TableSnapshot>;

	/**
	 * Waits for changes of a table.
	 * @param afterVersion - version up to which the changes are known
	 * @param waitMs - time after which an answer without changes comes, in milliseconds
	 */
	abstract changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges>;

	/**
	 * Writes one row without a condition. `table-outcome-unknown` means that it may have been
	 * written or may still be.
	 */
	abstract put(table: string, key: string, value: Uint8Array): Promise<void>;
}
