import type {
	Clock,
	ObjectStore,
	Row,
	TableService,
} from '../../common/index.js';
import {bookingKeyTimeMs} from './booking-key.js';
import {bookingPrefix, parseBookingRecord} from './booking-record.js';
import {horizonKey} from './booking-table.js';

/** Options of the retention. */
export type BookingRetentionOptions = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	/** How long records are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Most rows removed in one sweep. */
	readonly maxRowsPerSweep: number;
};

/** Removes records that are older than the retention. */
export type BookingRetention = {
	/**
	 * Removes old records, up to the limit of one sweep.
	 * @returns number of rows removed
	 * @throws ProblemError of the table service or object store
	 */
	sweep(): Promise<number>;
};

const pageRows = 100;
const uuidLength = 36;

// VMs whose clocks differ by less than this refuse a key by its age before its record is removed.
const clockMarginMs = 600_000;

// Each advance of the horizon makes one claim of every VM fail, which then reads the horizon again.
const horizonStepMs = 3_600_000;

// Sorts after every idempotency key.
const afterKeys = '~';

const emptyObject = '""';

export function createBookingRetention(
	options: BookingRetentionOptions,
): BookingRetention {
	const {table, objects, clock} = options;

	/** Advances the horizon before any record is removed, so that claims of removed keys fail. */
	const advanceHorizon = async (): Promise<number> => {
		const row = await table.get(horizonKey);
		const current = row ? Number(row.value) : 0;
		const wanted = clock.wallMs() - options.retentionMs - clockMarginMs;
		if (wanted < current + horizonStepMs) {
			return current;
		}

		const [result] = await table.commit([
			{
				checks: [{key: horizonKey, version: row?.version ?? 0}],
				writes: [{key: horizonKey, value: String(wanted)}],
			},
		]);
		return result.committed ? wanted : current;
	};

	const clearObject = async (row: Row): Promise<void> => {
		let name;
		try {
			name = parseBookingRecord(row).answerObject;
		} catch {
			return;
		}

		if (name !== undefined) {
			await objects.put(name, emptyObject);
		}
	};

	const removeRows = async (rows: readonly Row[]): Promise<number> => {
		if (rows.length === 0) {
			return 0;
		}

		for (const row of rows) {
			await clearObject(row);
		}

		const results = await table.commit(
			rows.map(({key, version}) => ({
				checks: [{key, version}],
				writes: [{key, value: undefined}],
			})),
		);
		return results.filter((result) => result.committed).length;
	};

	const isOld = (row: Row, horizonMs: number): boolean =>
		bookingKeyTimeMs(row.key.slice(-uuidLength)) < horizonMs;

	const sweepAccount = async (
		prefix: string,
		horizonMs: number,
		maxRows: number,
	): Promise<number> => {
		let removed = 0;
		let after: string | undefined;
		while (removed < maxRows) {
			const limit = Math.min(pageRows, maxRows - removed);
			const rows = await table.list(prefix, {limit, after});
			const old = rows.filter((row) => isOld(row, horizonMs));
			removed += await removeRows(old);
			// Keys sort by time, so no page after the first one with a recent key has old ones.
			if (rows.length < limit || old.length < rows.length) {
				break;
			}

			after = rows.at(-1)!.key;
		}

		return removed;
	};

	return {
		async sweep() {
			const horizonMs = await advanceHorizon();
			let removed = 0;
			let after: string | undefined;
			while (removed < options.maxRowsPerSweep) {
				const [row] = await table.list(bookingPrefix, {limit: 1, after});
				if (!row) {
					break;
				}

				const prefix = row.key.slice(0, row.key.lastIndexOf('/') + 1);
				const maxRows = options.maxRowsPerSweep - removed;
				removed += await sweepAccount(prefix, horizonMs, maxRows);
				after = prefix + afterKeys;
			}

			return removed;
		},
	};
}
