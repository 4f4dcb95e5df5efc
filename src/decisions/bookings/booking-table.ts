import {
	type ConditionalWrite,
	type ProblemError,
	type Row,
	toProblem,
} from '../../common/index.js';
import {bookingKeyTimeMs} from './booking-key.js';
import {bookingRowKey, parseBookingRecord} from './booking-record.js';
import {createGroupCommit} from './group-commit.js';
import type {BookingCall, BookingOptions, BookingRecord} from './types.js';

/**
 * Key of the row with the retention horizon. Records whose keys are older than this time may have been
 * removed.
 */
export const horizonKey = 'booking-horizon';

/** How an attempt to create a record ended. */
export type ClaimResult =
	| {readonly kind: 'claimed'; readonly row: Row}
	/** Another attempt has created the record. */
	| {readonly kind: 'taken'; readonly row: Row}
	/** The key is older than the retention horizon. */
	| {readonly kind: 'expired'}
	/** This attempt wrote nothing and no write is in flight; a record of an earlier one may exist. */
	| {readonly kind: 'not-written'; readonly problem: ProblemError}
	/** The record may exist already or appear later. */
	| {readonly kind: 'uncertain'; readonly problem: ProblemError};

/** How an attempt to replace a record ended, with the current row. */
export type ReplaceResult =
	| {readonly replaced: true; readonly row: Row}
	| {readonly replaced: false; readonly row: Row | undefined};

/** Access to the booking records in the table service, through one group commit. */
export type BookingTable = {
	/** Reads the row of a record. */
	read(account: string, key: string): Promise<Row | undefined>;
	/**
	 * Creates a record unless one exists.
	 * @param untilMs - monotonic time after which an unconfirmed claim is not retried
	 * @param onUncertain - called whenever it is not known if the record was created
	 */
	claim(
		call: BookingCall,
		record: BookingRecord,
		untilMs: number,
		onUncertain: () => void,
	): Promise<ClaimResult>;
	/**
	 * Replaces a record if its row is unchanged.
	 * @throws ProblemError `table-unavailable` or `table-outcome-unknown`
	 */
	replace(row: Row, record: BookingRecord): Promise<ReplaceResult>;
};

function isOwnClaim(row: Row, record: BookingRecord, compareAttempt: boolean) {
	try {
		const found = parseBookingRecord(row);
		return (
			found.state === 'started' &&
			(found.attemptId === record.attemptId || !compareAttempt)
		);
	} catch {
		return false;
	}
}

export function createBookingTable(options: BookingOptions): BookingTable {
	const {table, clock, limits, omittedChecks} = options;
	const group = createGroupCommit({
		table,
		clock,
		timers: options.timers,
		spacingMs: limits.commitSpacingMs,
		maxBatchWrites: limits.maxBatchWrites,
		maxQueuedWrites: limits.maxQueuedWrites,
	});
	// Every claim checks the version of this row. Therefore a call cannot run again after its record was
	// removed, even with a wrong clock or after a pause of the VM.
	let horizon = {version: 0, wallMs: 0};

	const updateHorizon = (row: Row | undefined): void => {
		horizon = row
			? {version: row.version, wallMs: Number(row.value)}
			: {version: 0, wallMs: 0};
	};

	const claimWrite = (key: string, value: string): ConditionalWrite => ({
		checks: [
			{key, version: 0},
			...(omittedChecks?.has('horizon')
				? []
				: [{key: horizonKey, version: horizon.version}]),
		],
		writes: [{key, value}],
	});

	const compareAttempt = !omittedChecks?.has('attempt-id');
	const classify = (row: Row, record: BookingRecord): ClaimResult => ({
		kind: isOwnClaim(row, record, compareAttempt) ? 'claimed' : 'taken',
		row,
	});

	return {
		async read(account, key) {
			return table.get(bookingRowKey(account, key));
		},
		async claim(call, record, untilMs, onUncertain) {
			const key = bookingRowKey(call.account, call.key);
			const value = JSON.stringify(record);
			let isUncertain = false;
			for (;;) {
				if (bookingKeyTimeMs(call.key) < horizon.wallMs) {
					return {kind: 'expired'};
				}

				try {
					const result = await group.commit(claimWrite(key, value));
					if (result.committed) {
						return {
							kind: 'claimed',
							row: {key, value, version: result.version},
						};
					}

					const row = result.current.find((one) => one.key === key);
					if (row) {
						return classify(row, record);
					}

					updateHorizon(result.current.find((one) => one.key === horizonKey));
				} catch (error) {
					const problem = toProblem(error);
					isUncertain ||= problem.type !== 'table-unavailable';
					if (!isUncertain) {
						return {kind: 'not-written', problem};
					}

					onUncertain();
					if (clock.nowMs() >= untilMs) {
						return {kind: 'uncertain', problem};
					}

					try {
						const row = await table.get(key);
						if (row) {
							return classify(row, record);
						}
					} catch (readError) {
						if (clock.nowMs() >= untilMs) {
							return {kind: 'uncertain', problem: toProblem(readError)};
						}
					}

					await options.timers.sleep(limits.commitSpacingMs);
				}
			}
		},
		async replace(row, record) {
			const value = JSON.stringify(record);
			const result = await group.commit({
				checks: omittedChecks?.has('row-version')
					? []
					: [{key: row.key, version: row.version}],
				writes: [{key: row.key, value}],
			});
			return result.committed
				? {replaced: true, row: {key: row.key, value, version: result.version}}
				: {
						replaced: false,
						row: result.current.find((one) => one.key === row.key),
					};
		},
	};
}
