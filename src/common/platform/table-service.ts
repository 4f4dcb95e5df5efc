import type {
	ConditionalResult,
	ConditionalWrite,
	ListOptions,
	Row,
} from './types.js';

/**
 * Client of the transactional table service that the entry daemon uses. The front daemon uses `RowStore`
 * instead.
 *
 * Failures are `ProblemError`s: `table-unavailable` if it is certain that nothing was written,
 * `table-outcome-unknown` if the write may have taken effect or may still do so.
 */
export abstract class TableService {
	/**
	 * @returns the row, or undefined if it is absent
	 */
	abstract get(key: string): Promise<Row | undefined>;

	/** Lists the rows whose keys start with `prefix`, in the order of their keys. */
	abstract list(prefix: string, options: ListOptions): Promise<readonly Row[]>;

	/**
	 * Executes conditional writes in one transaction. Each commits or fails by its own checks,
	 * independently of the others. No two of them may write the same key.
	 * @returns one result for each conditional write, in the order of the batch
	 */
	abstract commit(
		batch: readonly ConditionalWrite[],
	): Promise<readonly ConditionalResult[]>;
}
