import {type Row, type ServiceResponse, toProblem} from '../../common/index.js';
import type {BookingContext} from './booking-context.js';
import {
	type BookingOutcome,
	finalNotRunOutcome,
	problemOutcome,
} from './open-booking.js';
import {parseBookingRecord} from './booking-record.js';
import type {BookingRecord} from './types.js';

/**
 * Reads the outcomes of final records and settles others: requests the outcome from the target and
 * writes it to the record.
 */
export type BookingSettler = {
	/** Returns the outcome of a final record, undefined if it is not final. Never rejects. */
	outcomeOf(record: BookingRecord): Promise<BookingOutcome | undefined>;
	/**
	 * Requests the outcome of a call from its target and records the answer. Never rejects.
	 * @param key - idempotency key
	 * @returns the recorded outcome, or undefined if it is still unknown
	 */
	settle(
		key: string,
		row: Row,
		record: BookingRecord,
	): Promise<BookingOutcome | undefined>;
	/** Tries to settle a record in the background, with a limited number of attempts. */
	settleInBackground(key: string, row: Row, record: BookingRecord): void;
};

const backgroundDelaysMs = [1000, 5000, 30_000, 120_000];

export function createBookingSettler(context: BookingContext): BookingSettler {
	const {records, answers, limits, timers} = context;
	let backgroundCount = 0;

	const outcomeOf = async (
		record: BookingRecord,
	): Promise<BookingOutcome | undefined> => {
		if (record.state === 'not-run') {
			return finalNotRunOutcome(
				'this call did not reach its target and did not run',
			);
		}

		if (record.state !== 'done') {
			return undefined;
		}

		try {
			return {kind: 'answer', answer: await answers.load(record)};
		} catch (error) {
			return problemOutcome(
				'outcome-unknown',
				'this call ran, but its answer cannot be read now',
				toProblem(error),
			);
		}
	};

	const requestOutcome = async (
		key: string,
		record: BookingRecord,
	): Promise<ServiceResponse | 'absent' | undefined> => {
		const target = context.findTarget(record.targetId);
		if (!target?.description.answersOutcomes) {
			return undefined;
		}

		return (await target.outcome(key)) ?? 'absent';
	};

	const settle = async (
		key: string,
		row: Row,
		record: BookingRecord,
	): Promise<BookingOutcome | undefined> => {
		try {
			const answer = await requestOutcome(key, record);
			// That the target does not know the call proves nothing: the owner may be paused before it sends
			// the call, or the call may be in transit.
			if (
				answer === undefined ||
				(answer === 'absent' && context.isCheckEnabled('absence-is-no-proof'))
			) {
				return undefined;
			}

			const next: BookingRecord =
				answer === 'absent'
					? {...record, state: 'not-run'}
					: await answers.createDoneRecord(record, answer);
			const result = await records.replace(row, next);
			if (result.replaced) {
				context.count('settled');
				return await outcomeOf(next);
			}

			return result.row && (await outcomeOf(parseBookingRecord(result.row)));
		} catch {
			return undefined;
		}
	};

	const settleWithRetries = async (
		key: string,
		row: Row,
		record: BookingRecord,
	): Promise<void> => {
		for (const delayMs of backgroundDelaysMs) {
			await timers.sleep(delayMs);
			if (await settle(key, row, record)) {
				return;
			}
		}
	};

	return {
		outcomeOf,
		settle,
		settleInBackground(key, row, record) {
			// Above the limit, the record is settled by the next call with its key.
			if (backgroundCount < limits.maxClosing) {
				backgroundCount++;
				void settleWithRetries(key, row, record).finally(() => {
					backgroundCount--;
				});
			}
		},
	};
}
