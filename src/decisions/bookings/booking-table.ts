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

/** Row that holds the time before which records may have been removed. */
export const horizonKey = 'booking-horizon';

/** How an attempt to create a record ended. */
export type ClaimResult =
	| {readonly kind: 'claimed'; readonly row: Row}
	| {readonly kind: 'taken'; readonly row: Row}
	| {readonly kind: 'expired'}
	/** Nothing was written and nothing will be. */
	| {readonly kind: 'not-written'; readonly problem: ProblemError}
	/** The record may exist or appear later. */
	| {readonly kind: 'uncertain'; readonly problem: ProblemError};

/** How an attempt to replace a record ended. */
export type ReplaceResult =
	| {readonly replaced: true; readonly row: Row}
	| {readonly replaced: false; readonly row: Row | undefined};

/** The records in the table service. */
export type BookingTable = {
	read(account: string, key: string): Promise<Row | undefined>;
	/**
	 * Creates a record unless one exists.
	 * @param untilMs - monotonic time at which an unconfirmed claim is given up
	 */
	claim(
		call: BookingCall,
		record: BookingRecord,
		untilMs: number,
		onUncertain: () => void,
	): Promise<ClaimResult>;
	/**
	 * Replaces a record if its row did not change.
	 * @throws ProblemError `table-unavailable` or `table-outcome-unknown`
	 */
	replace(row: Row, record: BookingRecord): Promise<ReplaceResult>;
};

function isOwnClaim(row: Row, record: BookingRecord, compare: boolean) {
	try {
		const found = parseBookingRecord(row);
		return (
			found.state === 'started' &&
			(found.attemptId === record.attemptId || !compare)
		);
	} catch {
		return false;
	}
}

/** Creates the access to the records, through one group commit. */
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
	// Checked by every claim, so that no clock and no pause lets a removed key run again.
	let horizon = {version: 0, wallMs: 0};

	const noteHorizon = (row: Row | undefined): void => {
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
			let uncertain = false;
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

					noteHorizon(result.current.find((one) => one.key === horizonKey));
				} catch (error) {
					const problem = toProblem(error);
					uncertain ||= problem.type !== 'table-unavailable';
					if (!uncertain) {
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
