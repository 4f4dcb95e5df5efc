import {type RandomSource} from '../../common/index.js';
import {type BookingAnswers, createBookingAnswers} from './booking-answers.js';
import {type BookingTable, createBookingTable} from './booking-table.js';
import type {BookingCheck, BookingOptions} from './types.js';

/** Options and components that the parts of a coordinator or of a background settler share. */
export type BookingContext = BookingOptions & {
	/** Records in the table service. */
	readonly records: BookingTable;
	/** Answers of `done` records. */
	readonly answers: BookingAnswers;
	/** True unless a test omits the check. */
	readonly isCheckEnabled: (check: BookingCheck) => boolean;
};

const firstBackoffMs = 50;

export function createBookingContext(options: BookingOptions): BookingContext {
	return {
		...options,
		records: createBookingTable(options),
		answers: createBookingAnswers(options),
		isCheckEnabled: (check) => !options.omittedChecks?.has(check),
	};
}

/**
 * Creates a backoff: exponentially growing delays with random jitter of up to a half.
 * @param maxMs - longest delay, in milliseconds
 * @returns function that returns the next delay in milliseconds
 */
export function createBackoff(
	random: RandomSource,
	maxMs: number,
): () => number {
	let ceilingMs = firstBackoffMs;
	return () => {
		const delayMs = ceilingMs / 2 + (random.nextUnit() * ceilingMs) / 2;
		ceilingMs = Math.min(maxMs, ceilingMs * 2);
		return delayMs;
	};
}
