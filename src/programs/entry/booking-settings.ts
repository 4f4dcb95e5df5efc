import {
	type BookingLimits,
	defaultBookingLimits,
} from '../../decisions/bookings/index.js';
import {checkInteger} from '../command-line.js';

const hourMs = 3_600_000;

type LimitFlag = {
	readonly name: keyof BookingLimits;
	/** Help text of the flag. */
	readonly describe: string;
	readonly min: number;
	readonly max: number;
};

const limitsByFlag: Readonly<Record<string, LimitFlag>> = {
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
		describe: 'most booking records that wait to be written',
		min: 1,
		max: 100_000,
	},
	'booking-max-open': {
		name: 'maxOpen',
		describe: 'most open bookings',
		min: 1,
		max: 100_000,
	},
	'booking-max-closing': {
		name: 'maxClosing',
		describe:
			'most given-up bookings whose record is still to be closed in the background',
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
		describe:
			'time after which a booking is given up if the creation of its record is not confirmed, in ms',
		min: 10,
		max: 60_000,
	},
	'booking-record-wait-ms': {
		name: 'recordWaitMs',
		describe:
			'longest time that a booking answer is held until it is recorded, in ms',
		min: 1,
		max: 60_000,
	},
	'booking-target-timeout-ms': {
		name: 'targetTimeoutMs',
		describe: 'timeout of the call to a booking target, in ms',
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
		describe: 'longest delay between attempts to write a booking record, in ms',
		min: 10,
		max: 60_000,
	},
};

/** Options of yargs for the limits of bookings. */
export const bookingFlags = Object.fromEntries(
	Object.entries(limitsByFlag).map(([flag, {name, describe}]) => [
		flag,
		{type: 'number' as const, default: defaultBookingLimits[name], describe},
	]),
);

/**
 * Reads the limits of bookings from parsed flags.
 * @throws ProblemError `invalid-setting` if one is out of its range
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
