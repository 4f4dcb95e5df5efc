import {
	ProblemError,
	type ProblemType,
	type ServiceResponse,
} from '../../common/index.js';
import type {BookingCall} from './types.js';

/** Result of a booking for its callers: the stored answer or a problem. */
export type BookingOutcome =
	| {readonly kind: 'answer'; readonly answer: ServiceResponse}
	| {readonly kind: 'problem'; readonly problem: ProblemError};

/**
 * Phase of a booking on this VM: `claiming` while its record is being created, `following` if another
 * attempt has created it. A `given-up` booking never calls the target. A `sent` one has called it and
 * stays in memory until the outcome is recorded.
 */
export type BookingPhase = 'claiming' | 'following' | 'given-up' | 'sent';

/** A booking that is open on this VM, shared by all callers with the same account and key. */
export type OpenBooking = {
	readonly call: BookingCall;
	readonly attemptId: string;
	phase: BookingPhase;
	/** Latest deadline of its callers, as monotonic time. */
	deadlineMs: number;
	/** Number of callers that wait for the outcome. */
	waiterCount: number;
	/** Resolves with the first outcome that is passed to `finish`. */
	readonly outcome: Promise<BookingOutcome>;
	/** Resolves when the booking is no longer open on this VM. */
	readonly closed: Promise<void>;
	/** Resolves `outcome`; later calls have no effect. */
	finish(outcome: BookingOutcome): void;
	/** Resolves `closed`. */
	close(): void;
};

const retryAfterMs = 1000;

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

/**
 * Creates the outcome of a call whose record says `not-run`, which is final: no later call with the
 * same key runs either, so the caller needs a new one.
 */
export function finalNotRunOutcome(
	message: string,
	cause?: Error,
): BookingOutcome {
	return {
		kind: 'problem',
		problem: new ProblemError(
			'not-run',
			`${message}; send the call again with a new Idempotency-Key`,
			{cause, field: 'Idempotency-Key', details: {keyClosed: true}},
		),
	};
}

/** Creates an outcome with a problem, with the retry delay and the field that belong to its type. */
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
