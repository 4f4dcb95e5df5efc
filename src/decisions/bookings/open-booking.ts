import {
	ProblemError,
	type ProblemType,
	type ServiceResponse,
} from '../../common/index.js';
import type {BookingCall} from './types.js';

/** What callers of a booking are told. */
export type BookingOutcome =
	| {readonly kind: 'answer'; readonly answer: ServiceResponse}
	| {readonly kind: 'problem'; readonly problem: ProblemError};

/**
 * How far a booking has come on this VM. Once `given-up`, it never calls the target; once `sent`,
 * it stays in memory until its record is final.
 */
export type BookingPhase = 'claiming' | 'following' | 'given-up' | 'sent';

/** One booking that is open on this VM, shared by all its callers. */
export type OpenBooking = {
	readonly call: BookingCall;
	readonly attemptId: string;
	phase: BookingPhase;
	/** Monotonic time of the latest deadline of a caller. */
	deadlineMs: number;
	/** Callers that wait for the outcome. */
	waiterCount: number;
	/** What callers are told; settles once. */
	readonly outcome: Promise<BookingOutcome>;
	/** Settles when the booking needs this VM's memory no longer. */
	readonly closed: Promise<void>;
	finish(outcome: BookingOutcome): void;
	close(): void;
};

const retryAfterMs = 1000;

/** Creates an open booking. */
export function createOpenBooking(
	call: BookingCall,
	attemptId: string,
): OpenBooking {
	let finish!: (outcome: BookingOutcome) => void;
	let close!: () => void;
	const outcome = new Promise<BookingOutcome>((resolve) => {
		finish = resolve;
	});
	const closed = new Promise<void>((resolve) => {
		close = resolve;
	});
	return {
		call,
		attemptId,
		phase: 'claiming',
		deadlineMs: Number.NEGATIVE_INFINITY,
		waiterCount: 0,
		outcome,
		closed,
		finish,
		close,
	};
}

/** Outcome of a call whose record is closed: a repeat with its key never runs. */
export function finalNotRunOutcome(
	message: string,
	cause?: Error,
): BookingOutcome {
	return {
		kind: 'problem',
		problem: new ProblemError(
			'not-run',
			`${message}; book again with a new Idempotency-Key`,
			{cause, field: 'Idempotency-Key', details: {keyClosed: true}},
		),
	};
}

/** Outcome that tells callers of a problem. */
export function problemOutcome(
	type: ProblemType,
	message: string,
	cause?: Error,
): BookingOutcome {
	return {
		kind: 'problem',
		problem: new ProblemError(type, message, {
			cause,
			...(type === 'not-run' || type === 'outcome-unknown'
				? {retryAfterMs}
				: {}),
			...(type === 'idempotency-key-reused' ||
			type === 'idempotency-key-expired'
				? {field: 'Idempotency-Key'}
				: {}),
		}),
	};
}
