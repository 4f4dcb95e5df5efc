import {type RandomSource} from '../../common/index.js';
import {type BookingAnswers, createBookingAnswers} from './booking-answers.js';
import {type BookingTable, createBookingTable} from './booking-table.js';
import type {BookingCheck, BookingOptions} from './types.js';

/** What the parts of the booking decisions on one VM share. */
export type BookingContext = BookingOptions & {
	readonly records: BookingTable;
	readonly answers: BookingAnswers;
	/** Whether a check is in place; always true outside tests. */
	readonly isCheckEnabled: (check: BookingCheck) => boolean;
};

const firstBackoffMs = 50;

/** Creates the shared parts. */
export function createBookingContext(options: BookingOptions): BookingContext {
	return {
		...options,
		records: createBookingTable(options),
		answers: createBookingAnswers(options),
		isCheckEnabled: (check) => !options.omittedChecks?.has(check),
	};
}

/**
 * Creates a series of growing, randomized delays.
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
