import {
	type BookingLimits,
	defaultBookingLimits,
} from '../../decisions/bookings/index.js';
import {checkInteger} from '../command-line.js';

const hourMs = 3_600_000;

type Limit = {
	readonly name: keyof BookingLimits;
	readonly describe: string;
	readonly min: number;
	readonly max: number;
};

const limitsByFlag: Readonly<Record<string, Limit>> = {
	'booking-commit-spacing-ms': {
		name: 'commitSpacingMs',
		describe: 'shortest time between two booking transactions, in ms',
		min: 1,
		max: 1000,
	},
	'booking-max-batch-writes': {
		name: 'maxBatchWrites',
		describe: 'most booking records written in one transaction',
		min: 1,
		max: 128,
	},
	'booking-max-queued-writes': {
		name: 'maxQueuedWrites',
		describe: 'most booking records that wait for a transaction',
		min: 1,
		max: 100_000,
	},
	'booking-max-open': {
		name: 'maxOpen',
		describe: 'most bookings open at once',
		min: 1,
		max: 100_000,
	},
	'booking-max-closing': {
		name: 'maxClosing',
		describe: 'most given-up bookings whose record is closed in the background',
		min: 1,
		max: 100_000,
	},
	'booking-max-remembered': {
		name: 'maxRemembered',
		describe: 'most recorded booking answers kept in memory',
		min: 1,
		max: 100_000,
	},
	'booking-claim-timeout-ms': {
		name: 'claimTimeoutMs',
		describe: 'time until an unconfirmed booking record is given up, in ms',
		min: 10,
		max: 60_000,
	},
	'booking-record-wait-ms': {
		name: 'recordWaitMs',
		describe: 'time for which an answer waits for its record, in ms',
		min: 1,
		max: 60_000,
	},
	'booking-target-timeout-ms': {
		name: 'targetTimeoutMs',
		describe: 'time until the call to a booking target is given up, in ms',
		min: 1000,
		max: hourMs,
	},
	'booking-max-row-answer-bytes': {
		name: 'maxRowAnswerBytes',
		describe: 'largest booking answer kept in a table row, in bytes',
		min: 0,
		max: 1_048_576,
	},
	'booking-max-backoff-ms': {
		name: 'maxBackoffMs',
		describe: 'longest delay between tries to write a record, in ms',
		min: 10,
		max: 60_000,
	},
};

/** Flags of the limits of bookings. */
export const bookingFlags = Object.fromEntries(
	Object.entries(limitsByFlag).map(([flag, {name, describe}]) => [
		flag,
		{type: 'number' as const, default: defaultBookingLimits[name], describe},
	]),
);

/**
 * Reads the limits of bookings from parsed flags.
 * @throws ProblemError `invalid-setting`
 */
export function readBookingLimits(
	flags: Readonly<Record<string, unknown>>,
): BookingLimits {
	const limits = Object.entries(limitsByFlag).map(
		([flag, {name, min, max}]) =>
			[name, checkInteger(flag, Number(flags[flag]), min, max)] as const,
	);
	return {...defaultBookingLimits, ...Object.fromEntries(limits)};
}
