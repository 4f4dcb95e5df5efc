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

/** What the owner of a record does: call the target once, and write how it ended. */
export type BookingExecutor = {
	/**
	 * Calls the target and records the outcome.
	 * @returns the outcome that the record holds, or undefined if it is not final
	 */
	execute(
		entry: OpenBooking,
		row: Row,
		record: BookingRecord,
		target: PlainService,
	): Promise<BookingOutcome | undefined>;
	/** Closes the record of a booking that was given up, if the record exists or appears. */
	markGivenUpNotRun(entry: OpenBooking, record: BookingRecord): Promise<void>;
	/**
	 * Closes a record of this process that it does not remember. It called no target for it, since
	 * it forgets a call only once its outcome is recorded.
	 * @returns whether the record is closed as `not-run` now
	 */
	markUntrackedNotRun(row: Row, record: BookingRecord): Promise<boolean>;
};

// A claim without an answer may take effect this many looks at the record later.
const looksForLateClaim = 4;

const outcomeOfFailure = (problem: ProblemError): BookingOutcome =>
	problem.type === 'target-unavailable'
		? finalNotRunOutcome('the target could not be reached', problem)
		: problemOutcome(
				'outcome-unknown',
				'the call may have run; ask again later',
				problem,
			);

/** Creates the owner's side. */
export function createBookingExecutor(
	context: BookingContext,
	settler: BookingSettler,
): BookingExecutor {
	const {records, answers, limits, timers, random, invariants} = context;
	let closingCount = 0;

	const callTarget = async (
		entry: OpenBooking,
		target: PlainService,
	): Promise<ServiceResponse> => {
		const {call} = entry;
		invariants.check(
			'at-most-once',
			entry.phase !== 'sent',
			() => `attempt ${entry.attemptId} calls its target twice`,
		);
		entry.phase = 'sent';
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

	const record = async (
		entry: OpenBooking,
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
					() => `attempt ${entry.attemptId} ran, but its record says not-run`,
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
		entry: OpenBooking,
		row: Row,
		started: BookingRecord,
		target: PlainService,
	): Promise<BookingOutcome | undefined> => {
		let outcome: BookingOutcome;
		let build: () => Promise<BookingRecord>;
		try {
			const answer = await callTarget(entry, target);
			outcome = {kind: 'answer', answer};
			build = async () => answers.createDoneRecord(started, answer);
		} catch (error) {
			const problem = toProblem(error);
			const state =
				problem.type === 'target-unavailable' ? 'not-run' : 'unknown';
			outcome = outcomeOfFailure(problem);
			build = async () => ({...started, state});
			entry.finish(outcome);
		}

		// An answer waits for its record for a while; after that the caller gets it from memory.
		const timer = timers.after(limits.recordWaitMs, () => {
			context.count('delivered-unrecorded');
			entry.finish(outcome);
		});
		const result = await record(entry, row, build, outcome);
		timer.dispose();
		entry.finish(result.outcome ?? outcome);
		if (result.record?.state === 'unknown') {
			settler.settleInBackground(entry.call.key, result.row!, result.record);
			return undefined;
		}

		return result.outcome;
	};

	const closeOnce = async (
		entry: OpenBooking,
		started: BookingRecord,
	): Promise<'absent' | 'closed'> => {
		const {account, key} = entry.call;
		const row = await records.read(account, key);
		if (!row) {
			return 'absent';
		}

		const found = parseBookingRecord(row);
		if (found.attemptId === started.attemptId && found.state === 'started') {
			await records.replace(row, {...started, state: 'not-run'});
			context.count('closed-not-run');
		}

		return 'closed';
	};

	const markGivenUpNotRun = async (
		entry: OpenBooking,
		started: BookingRecord,
	): Promise<void> => {
		// A record that is not closed here is closed when somebody asks its owner.
		if (closingCount >= limits.maxClosing) {
			return;
		}

		closingCount++;
		const backoff = createBackoff(random, limits.maxBackoffMs);
		let absences = 0;
		while (absences < looksForLateClaim) {
			try {
				if ((await closeOnce(entry, started)) === 'closed') {
					break;
				}

				absences++;
			} catch (error) {
				if (toProblem(error).type === 'table-corrupt-row') {
					context.count('corrupt-row');
					break;
				}
			}

			await timers.sleep(backoff());
		}

		closingCount--;
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
