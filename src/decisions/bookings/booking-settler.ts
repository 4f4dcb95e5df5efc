import {type Row, type ServiceResponse, toProblem} from '../../common/index.js';
import type {BookingContext} from './booking-context.js';
import {
	type BookingOutcome,
	finalNotRunOutcome,
	problemOutcome,
} from './open-booking.js';
import {parseBookingRecord} from './booking-record.js';
import type {BookingRecord} from './types.js';

/** Settles records whose outcome is unknown and reads final ones. */
export type BookingSettler = {
	/** Outcome that a final record tells callers; undefined if it is not final. */
	outcomeOf(record: BookingRecord): Promise<BookingOutcome | undefined>;
	/**
	 * Asks the target whether the call took effect and records its answer.
	 * @param key - idempotency key
	 * @returns undefined while the outcome stays unknown
	 */
	settle(
		key: string,
		row: Row,
		record: BookingRecord,
	): Promise<BookingOutcome | undefined>;
	/** Tries to settle a record in the background, a few times. */
	settleInBackground(key: string, row: Row, record: BookingRecord): void;
};

const backgroundDelaysMs = [1000, 5000, 30_000, 120_000];

/** Creates a settler. */
export function createBookingSettler(context: BookingContext): BookingSettler {
	const {records, answers, limits, timers} = context;
	let backgroundCount = 0;

	const outcomeOf = async (
		record: BookingRecord,
	): Promise<BookingOutcome | undefined> => {
		if (record.state === 'not-run') {
			return finalNotRunOutcome('this call was refused and did not run');
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

	const askTarget = async (
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
			const answer = await askTarget(key, record);
			// Absence proves nothing: the owner may be paused before its call, or the call on its way.
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

	const settleInBackground = async (
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
			// Beyond the limit, the next repeat of the call settles the record.
			if (backgroundCount < limits.maxClosing) {
				backgroundCount++;
				void settleInBackground(key, row, record).finally(() => {
					backgroundCount--;
				});
			}
		},
	};
}
