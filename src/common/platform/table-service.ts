import type {
	ConditionalResult,
	ConditionalWrite,
	ListOptions,
	Row,
} from './types.js';

/**
 * The platform's transactional table service.
 *
 * Failures are `ProblemError`s: `table-unavailable` promises that nothing was written,
 * `table-outcome-unknown` means that the write may have taken effect or may still do so.
 */
export abstract class TableService {
	/**
	 * Reads one row.
	 * @returns the row, or undefined if it is absent
	 */
	abstract get(key: string): Promise<Row | undefined>;

	/**
	 * Lists rows by prefix in the order of their keys.
	 * @param prefix - prefix of the keys
	 */
	abstract list(prefix: string, options: ListOptions): Promise<readonly Row[]>;

	/**
	 * Carries out conditional writes in one transaction. Each holds or fails by its own checks.
	 * No two of them may write the same key.
	 * @returns one result for each conditional write, in order
	 */
	abstract commit(
		batch: readonly ConditionalWrite[],
	): Promise<readonly ConditionalResult[]>;
}
