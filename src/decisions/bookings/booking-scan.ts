import type {Row, TableService} from '../../common/index.js';
import {bookingRowKey} from './booking-record.js';

/** Reads the records of a set of accounts page by page, again and again. */
export type BookingScan = {
	/**
	 * Reads the next page, with at most one table read.
	 * @returns the rows; empty at the end of an account or without accounts
	 * @throws ProblemError of the table service; the same page is read next
	 */
	nextPage(): Promise<readonly Row[]>;
};

/**
 * Creates a walk.
 * @param accounts - gives the accounts of the next round
 * @param firstKey - gives the idempotency key after which an account's records are read
 * @param pageRows - most rows in a page
 */
export function createBookingScan(
	table: TableService,
	accounts: () => Promise<readonly string[]>,
	firstKey: () => string,
	pageRows: number,
): BookingScan {
	let waiting: string[] = [];
	let current: {readonly prefix: string; after: string} | undefined;

	return {
		async nextPage() {
			if (!current) {
				if (waiting.length === 0) {
					waiting = [...(await accounts())];
				}

				const account = waiting.shift();
				if (account === undefined) {
					return [];
				}

				const prefix = bookingRowKey(account, '');
				current = {prefix, after: prefix + firstKey()};
			}

			const {prefix, after} = current;
			const rows = await table.list(prefix, {limit: pageRows, after});
			current =
				rows.length < pageRows ? undefined : {prefix, after: rows.at(-1)!.key};
			return rows;
		},
	};
}
