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

/** Carries out calls that may not be repeated, each at most once. */
export type BookingCoordinator = {
	/** Bookings that need this VM's memory. */
	readonly openCount: number;
	/**
	 * Runs a call, joins one that is running, or returns the recorded answer of an earlier one.
	 * @throws ProblemError `not-run`, `outcome-unknown`, `idempotency-key-reused`,
	 * `idempotency-key-expired` or a problem of the target's placement
	 */
	run(call: BookingCall): Promise<ServiceResponse>;
	/**
	 * Answers another entry VM that found a record of this one.
	 * @throws ProblemError `table-unavailable`, `table-outcome-unknown` or `table-corrupt-row`
	 */
	status(question: BookingStatusRequest): Promise<BookingStatus>;
	/** Resolves when no booking is open. */
	drain(): Promise<void>;
};

type Remembered = {
	readonly bodyHash: string;
	readonly outcome: BookingOutcome;
};

function unwrap(outcome: BookingOutcome): ServiceResponse {
	if (outcome.kind === 'problem') {
		throw outcome.problem;
	}

	return outcome.answer;
}

const reused = () =>
	problemOutcome(
		'idempotency-key-reused',
		'Idempotency-Key was used before with another request',
	);

async function settlesWithin(
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

/** Creates a coordinator. */
export function createBookingCoordinator(
	options: BookingOptions,
): BookingCoordinator {
	const context = createBookingContext(options);
	const {records, clock, timers, limits} = context;
	const settler = createBookingSettler(context);
	const owner = createBookingExecutor(context, settler);
	const follower = createBookingFollower(context, owner, settler);
	const openEntries = new Map<string, OpenBooking>();
	const remembered = new LRUCache<string, Remembered>({
		max: limits.maxRemembered,
	});

	const remember = (call: BookingCall, outcome: BookingOutcome) => {
		remembered.set(bookingRowKey(call.account, call.key), {
			bodyHash: call.bodyHash,
			outcome,
		});
	};

	const runner = createBookingRunner(
		context,
		owner,
		follower,
		(entry, outcome) => {
			remember(entry.call, outcome);
		},
	);

	const drive = async (id: string, entry: OpenBooking): Promise<void> => {
		try {
			await runner.run(entry);
		} catch (error) {
			entry.finish(
				problemOutcome(
					'outcome-unknown',
					'unexpected failure',
					toProblem(error),
				),
			);
		} finally {
			openEntries.delete(id);
			entry.close();
		}
	};

	const outcomeAtDeadline = (entry: OpenBooking): BookingOutcome => {
		// Nobody waits for the claim any more, so the target is never called.
		if (entry.phase === 'claiming' && entry.waiterCount === 0) {
			entry.phase = 'given-up';
		}

		return entry.phase === 'given-up'
			? problemOutcome('not-run', 'the deadline passed before the call ran')
			: problemOutcome(
					'outcome-unknown',
					'the call is running; ask again later',
				);
	};

	const waitFor = async (
		entry: OpenBooking,
		deadlineMs: number,
	): Promise<BookingOutcome> => {
		entry.waiterCount++;
		entry.deadlineMs = Math.max(entry.deadlineMs, deadlineMs);
		return new Promise((resolve) => {
			const timer = timers.after(deadlineMs - clock.nowMs(), () => {
				entry.waiterCount--;
				resolve(outcomeAtDeadline(entry));
			});
			void entry.outcome.then((outcome) => {
				timer.dispose();
				resolve(outcome);
			});
		});
	};

	const openEntry = (id: string, call: BookingCall): OpenBooking => {
		const entry = createOpenBooking(call, options.createAttemptId());
		openEntries.set(id, entry);
		context.count('opened');
		return entry;
	};

	const runUntil = async (
		call: BookingCall,
		deadlineMs: number,
	): Promise<BookingOutcome> => {
		const id = bookingRowKey(call.account, call.key);
		for (;;) {
			const known = remembered.get(id);
			if (known) {
				context.count('remembered');
				return known.bodyHash === call.bodyHash ? known.outcome : reused();
			}

			const running = openEntries.get(id);
			if (!running) {
				break;
			}

			if (running.call.bodyHash === call.bodyHash) {
				context.count('joined');
				return waitFor(running, deadlineMs);
			}

			// Until the record is known, either request may be the one with the wrong body.
			const waitMs = deadlineMs - clock.nowMs();
			if (
				running.phase === 'sent' ||
				!(await settlesWithin(timers, running.closed, waitMs))
			) {
				return reused();
			}
		}

		if (openEntries.size >= limits.maxOpen) {
			context.count('overloaded');
			return problemOutcome('not-run', 'too many bookings are open on this VM');
		}

		const entry = openEntry(id, call);
		const outcome = waitFor(entry, deadlineMs);
		void drive(id, entry);
		return outcome;
	};

	return {
		get openCount() {
			return openEntries.size;
		},
		async run(call) {
			return unwrap(await runUntil(call, clock.nowMs() + call.timeoutMs));
		},
		async status(question) {
			if (question.owner !== options.incarnation) {
				return 'other-process';
			}

			const entry = openEntries.get(
				bookingRowKey(question.account, question.key),
			);
			if (entry?.attemptId === question.attemptId) {
				if (entry.phase === 'given-up') {
					return 'not-run';
				}

				const closed = await settlesWithin(
					timers,
					entry.closed,
					question.waitMs,
				);
				return closed ? 'recorded' : 'running';
			}

			if (!context.isCheckEnabled('read-before-not-run')) {
				return 'not-run';
			}

			const row = await records.read(question.account, question.key);
			const record = row && parseBookingRecord(row);
			if (
				record?.state !== 'started' ||
				record.attemptId !== question.attemptId
			) {
				return 'recorded';
			}

			return (await owner.markUntrackedNotRun(row!, record))
				? 'not-run'
				: 'recorded';
		},
		async drain() {
			while (openEntries.size > 0) {
				await Promise.all(
					[...openEntries.values()].map(async (entry) => entry.closed),
				);
			}
		},
	};
}
