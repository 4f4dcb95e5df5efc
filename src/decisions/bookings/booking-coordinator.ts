import {LRUCache} from 'lru-cache';
import {
	type ServiceResponse,
	type Timers,
	toProblem,
} from '../../common/index.js';
import {createBookingContext} from './booking-context.js';
import {
	type OpenBooking,
	type BookingOutcome,
	createOpenBooking,
	problemOutcome,
} from './open-booking.js';
import {createBookingFollower} from './booking-follower.js';
import {createBookingExecutor} from './booking-executor.js';
import type {BookingStatusRequest, BookingStatus} from './booking-peers.js';
import {bookingRowKey, parseBookingRecord} from './booking-record.js';
import {createBookingRunner} from './booking-runner.js';
import {createBookingSettler} from './booking-settler.js';
import type {BookingCall, BookingOptions} from './types.js';

/** Runs bookings, so that each takes effect at most once, and handles status requests of peers. */
export type BookingCoordinator = {
	/** Number of bookings that are open on this VM. */
	readonly openCount: number;
	/**
	 * Runs a booking, joins one with the same key that is running, or returns the outcome of an earlier
	 * one.
	 * @throws ProblemError `not-run`, `outcome-unknown`, `idempotency-key-reused`,
	 * `idempotency-key-expired` or a problem from the choice of a target
	 */
	run(call: BookingCall): Promise<ServiceResponse>;
	/**
	 * Handles the status request of an entry VM that found a record which this process owns.
	 * @throws ProblemError `table-unavailable`, `table-outcome-unknown` or `table-corrupt-row`
	 */
	status(request: BookingStatusRequest): Promise<BookingStatus>;
	/** Resolves when no booking is open. */
	drain(): Promise<void>;
};

type CachedOutcome = {
	readonly bodyHash: string;
	readonly outcome: BookingOutcome;
};

function unwrap(outcome: BookingOutcome): ServiceResponse {
	if (outcome.kind === 'problem') {
		throw outcome.problem;
	}

	return outcome.answer;
}

const keyReusedOutcome = () =>
	problemOutcome(
		'idempotency-key-reused',
		'Idempotency-Key was used before with another request',
	);

async function resolvesWithin(
	timers: Timers,
	promise: Promise<void>,
	waitMs: number,
): Promise<boolean> {
	return new Promise((resolve) => {
		const timer = timers.after(waitMs, () => {
			resolve(false);
		});
		void promise.then(() => {
			timer.dispose();
			resolve(true);
		});
	});
}

export function createBookingCoordinator(
	options: BookingOptions,
): BookingCoordinator {
	const context = createBookingContext(options);
	const {records, clock, timers, limits} = context;
	const settler = createBookingSettler(context);
	const executor = createBookingExecutor(context, settler);
	const follower = createBookingFollower(context, executor, settler);
	const openBookings = new Map<string, OpenBooking>();
	const outcomeCache = new LRUCache<string, CachedOutcome>({
		max: limits.maxRemembered,
	});

	const cacheOutcome = (call: BookingCall, outcome: BookingOutcome) => {
		outcomeCache.set(bookingRowKey(call.account, call.key), {
			bodyHash: call.bodyHash,
			outcome,
		});
	};

	const runner = createBookingRunner(
		context,
		executor,
		follower,
		(booking, outcome) => {
			cacheOutcome(booking.call, outcome);
		},
	);

	const runToEnd = async (id: string, booking: OpenBooking): Promise<void> => {
		try {
			await runner.run(booking);
		} catch (error) {
			booking.finish(
				problemOutcome(
					'outcome-unknown',
					'unexpected error while the call was processed',
					toProblem(error),
				),
			);
		} finally {
			openBookings.delete(id);
			booking.close();
		}
	};

	const outcomeAtDeadline = (booking: OpenBooking): BookingOutcome => {
		// No caller waits any more, so the claim is not followed by a call of the target.
		if (booking.phase === 'claiming' && booking.waiterCount === 0) {
			booking.phase = 'given-up';
		}

		return booking.phase === 'given-up'
			? problemOutcome('not-run', 'the deadline passed before the call ran')
			: problemOutcome(
					'outcome-unknown',
					'the outcome is not known yet; repeat the call later with the same Idempotency-Key',
				);
	};

	const waitForOutcome = async (
		booking: OpenBooking,
		deadlineMs: number,
	): Promise<BookingOutcome> => {
		booking.waiterCount++;
		booking.deadlineMs = Math.max(booking.deadlineMs, deadlineMs);
		return new Promise((resolve) => {
			const timer = timers.after(deadlineMs - clock.nowMs(), () => {
				booking.waiterCount--;
				resolve(outcomeAtDeadline(booking));
			});
			void booking.outcome.then((outcome) => {
				timer.dispose();
				resolve(outcome);
			});
		});
	};

	const openBooking = (id: string, call: BookingCall): OpenBooking => {
		const booking = createOpenBooking(call, options.createAttemptId());
		openBookings.set(id, booking);
		context.count('opened');
		return booking;
	};

	const runUntil = async (
		call: BookingCall,
		deadlineMs: number,
	): Promise<BookingOutcome> => {
		const id = bookingRowKey(call.account, call.key);
		for (;;) {
			const cached = outcomeCache.get(id);
			if (cached) {
				context.count('remembered');
				return cached.bodyHash === call.bodyHash
					? cached.outcome
					: keyReusedOutcome();
			}

			const running = openBookings.get(id);
			if (!running) {
				break;
			}

			if (running.call.bodyHash === call.bodyHash) {
				context.count('joined');
				return waitForOutcome(running, deadlineMs);
			}

			// Until the running call is sent, the record may be that of an earlier attempt with the body of
			// this call. So wait until that booking is no longer open, then compare with the record.
			const waitMs = deadlineMs - clock.nowMs();
			if (
				running.phase === 'sent' ||
				!(await resolvesWithin(timers, running.closed, waitMs))
			) {
				return keyReusedOutcome();
			}
		}

		if (openBookings.size >= limits.maxOpen) {
			context.count('overloaded');
			return problemOutcome('not-run', 'too many bookings are open on this VM');
		}

		const booking = openBooking(id, call);
		const outcome = waitForOutcome(booking, deadlineMs);
		void runToEnd(id, booking);
		return outcome;
	};

	return {
		get openCount() {
			return openBookings.size;
		},
		async run(call) {
			return unwrap(await runUntil(call, clock.nowMs() + call.timeoutMs));
		},
		async status(request) {
			if (request.owner !== options.incarnation) {
				return 'other-process';
			}

			const booking = openBookings.get(
				bookingRowKey(request.account, request.key),
			);
			if (booking?.attemptId === request.attemptId) {
				if (booking.phase === 'given-up') {
					return 'not-run';
				}

				const isClosed = await resolvesWithin(
					timers,
					booking.closed,
					request.waitMs,
				);
				return isClosed ? 'recorded' : 'running';
			}

			if (!context.isCheckEnabled('read-before-not-run')) {
				return 'not-run';
			}

			const row = await records.read(request.account, request.key);
			const record = row && parseBookingRecord(row);
			if (
				record?.state !== 'started' ||
				record.attemptId !== request.attemptId
			) {
				return 'recorded';
			}

			return (await executor.markUntrackedNotRun(row!, record))
				? 'not-run'
				: 'recorded';
		},
		async drain() {
			while (openBookings.size > 0) {
				await Promise.all(
					[...openBookings.values()].map(async (booking) => booking.closed),
				);
			}
		},
	};
}
