import {
	type PlainService,
	type ProblemError,
	type Row,
	type ServiceResponse,
	toProblem,
} from '../../common/index.js';
import {createBackoff, type BookingContext} from './booking-context.js';
import {
	type OpenBooking,
	type BookingOutcome,
	finalNotRunOutcome,
	problemOutcome,
} from './open-booking.js';
import {parseBookingRecord} from './booking-record.js';
import type {BookingSettler} from './booking-settler.js';
import type {BookingRecord} from './types.js';

/**
 * Performs the calls of bookings whose record this process has created: calls the target once and
 * records the outcome.
 */
export type BookingExecutor = {
	/**
	 * Calls the target and records the outcome.
	 * @returns the recorded outcome, or undefined if it is not final
	 */
	execute(
		booking: OpenBooking,
		row: Row,
		record: BookingRecord,
		target: PlainService,
	): Promise<BookingOutcome | undefined>;
	/**
	 * Marks the record of a booking that was given up as `not-run`. An unconfirmed claim may take effect
	 * late, so a missing record is read several times.
	 */
	markGivenUpNotRun(booking: OpenBooking, record: BookingRecord): Promise<void>;
	/**
	 * Marks a record of this process for which no booking is open as `not-run`. The target was not called for it,
	 * since a booking that was sent stays open until its outcome is recorded.
	 * @returns true if the record was marked
	 */
	markUntrackedNotRun(row: Row, record: BookingRecord): Promise<boolean>;
};

// Reads of a missing record before it is assumed that the unconfirmed claim has failed.
const lateClaimReads = 4;

const outcomeOfFailure = (problem: ProblemError): BookingOutcome =>
	problem.type === 'target-unavailable'
		? finalNotRunOutcome('the target could not be reached', problem)
		: problemOutcome(
				'outcome-unknown',
				'the call may have run; repeat it later with the same Idempotency-Key',
				problem,
			);

export function createBookingExecutor(
	context: BookingContext,
	settler: BookingSettler,
): BookingExecutor {
	const {records, answers, limits, timers, random, invariants} = context;
	let markingCount = 0;

	const callTarget = async (
		booking: OpenBooking,
		target: PlainService,
	): Promise<ServiceResponse> => {
		const {call} = booking;
		invariants.check(
			'at-most-once',
			booking.phase !== 'sent',
			() => `attempt ${booking.attemptId} calls its target twice`,
		);
		booking.phase = 'sent';
		const request = {
			...call.request,
			idempotencyKey: call.key,
			timeoutMs: limits.targetTimeoutMs,
		};
		try {
			return await target.call(request);
		} catch (error) {
			if (context.isCheckEnabled('single-send')) {
				throw error;
			}

			return target.call(request);
		}
	};

	const writeOutcome = async (
		booking: OpenBooking,
		row: Row,
		build: () => Promise<BookingRecord>,
		outcome: BookingOutcome,
	): Promise<{row?: Row; record?: BookingRecord; outcome?: BookingOutcome}> => {
		const backoff = createBackoff(random, limits.maxBackoffMs);
		let current = row;
		let next: BookingRecord | undefined;
		for (;;) {
			try {
				next ??= await build();
				const result = await records.replace(current, next);
				if (result.replaced) {
					context.count('recorded');
					return {row: result.row, record: next, outcome};
				}

				if (!result.row) {
					return {};
				}

				const found = parseBookingRecord(result.row);
				invariants.check(
					'not-run',
					next.state !== 'done' || found.state !== 'not-run',
					() => `attempt ${booking.attemptId} ran, but its record says not-run`,
				);
				if (found.state === next.state || found.state === 'done') {
					const recorded = await settler.outcomeOf(found);
					return {row: result.row, record: found, outcome: recorded};
				}

				current = result.row;
			} catch (error) {
				if (toProblem(error).type === 'table-corrupt-row') {
					context.count('corrupt-row');
					return {};
				}

				context.count('record-retried');
				await timers.sleep(backoff());
			}
		}
	};

	const execute = async (
		booking: OpenBooking,
		row: Row,
		started: BookingRecord,
		target: PlainService,
	): Promise<BookingOutcome | undefined> => {
		let outcome: BookingOutcome;
		let build: () => Promise<BookingRecord>;
		try {
			const answer = await callTarget(booking, target);
			outcome = {kind: 'answer', answer};
			build = async () => answers.createDoneRecord(started, answer);
		} catch (error) {
			const problem = toProblem(error);
			const state =
				problem.type === 'target-unavailable' ? 'not-run' : 'unknown';
			outcome = outcomeOfFailure(problem);
			build = async () => ({...started, state});
			booking.finish(outcome);
		}

		// The answer is held back until it is recorded, but not for longer than this; then the callers get
		// it although it is only in memory.
		const timer = timers.after(limits.recordWaitMs, () => {
			context.count('delivered-unrecorded');
			booking.finish(outcome);
		});
		const result = await writeOutcome(booking, row, build, outcome);
		timer.dispose();
		booking.finish(result.outcome ?? outcome);
		if (result.record?.state === 'unknown') {
			settler.settleInBackground(booking.call.key, result.row!, result.record);
			return undefined;
		}

		return result.outcome;
	};

	const markOnce = async (
		booking: OpenBooking,
		started: BookingRecord,
	): Promise<'absent' | 'found'> => {
		const {account, key} = booking.call;
		const row = await records.read(account, key);
		if (!row) {
			return 'absent';
		}

		const found = parseBookingRecord(row);
		if (found.attemptId === started.attemptId && found.state === 'started') {
			await records.replace(row, {...started, state: 'not-run'});
			context.count('closed-not-run');
		}

		return 'found';
	};

	const markGivenUpNotRun = async (
		booking: OpenBooking,
		started: BookingRecord,
	): Promise<void> => {
		// A record that is not marked here is marked at the next status request or call with its key.
		if (markingCount >= limits.maxClosing) {
			return;
		}

		markingCount++;
		const backoff = createBackoff(random, limits.maxBackoffMs);
		let missingCount = 0;
		while (missingCount < lateClaimReads) {
			try {
				if ((await markOnce(booking, started)) === 'found') {
					break;
				}

				missingCount++;
			} catch (error) {
				if (toProblem(error).type === 'table-corrupt-row') {
					context.count('corrupt-row');
					break;
				}
			}

			await timers.sleep(backoff());
		}

		markingCount--;
	};

	return {
		execute,
		markGivenUpNotRun,
		async markUntrackedNotRun(row, found) {
			const result = await records.replace(row, {...found, state: 'not-run'});
			context.count('closed-not-run');
			return result.replaced;
		},
	};
}
