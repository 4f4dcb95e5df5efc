import type {Row, TableService} from '../../common/index.js';
import {bookingRowKey} from './booking-record.js';

/** Reads the records of a set of accounts page by page, and starts over at the end. */
export type BookingScan = {
	/**
	 * Reads the next page, with at most one table read.
	 * @returns the rows; may be empty, for example at the end of an account
	 * @throws ProblemError of the table service; the next call reads the same page again
	 */
	nextPage(): Promise<readonly Row[]>;
};

/**
 * Creates a scan.
 * @param accounts - returns the accounts; called at the start of each pass
 * @param afterKey - returns an idempotency key or a prefix of one; each account is read from the keys
 * that sort after it
 * @param pageRows - most rows in a page
 */
export function createBookingScan(
	table: TableService,
	accounts: () => Promise<readonly string[]>,
	afterKey: () => string,
	pageRows: number,
): BookingScan {
	let remainingAccounts: string[] = [];
	let position: {readonly prefix: string; after: string} | undefined;

	return {
		async nextPage() {
			if (!position) {
				if (remainingAccounts.length === 0) {
					remainingAccounts = [...(await accounts())];
				}

				const account = remainingAccounts.shift();
				if (account === undefined) {
					return [];
				}

				const prefix = bookingRowKey(account, '');
				position = {prefix, after: prefix + afterKey()};
			}

			const {prefix, after} = position;
			const rows = await table.list(prefix, {limit: pageRows, after});
			position =
				rows.length < pageRows ? undefined : {prefix, after: rows.at(-1)!.key};
			return rows;
		},
	};
}
