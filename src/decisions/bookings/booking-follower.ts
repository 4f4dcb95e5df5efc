import {type Row, toProblem} from '../../common/index.js';
import type {BookingContext} from './booking-context.js';
import {
	type OpenBooking,
	type BookingOutcome,
	finalNotRunOutcome,
	problemOutcome,
} from './open-booking.js';
import type {BookingExecutor} from './booking-executor.js';
import type {BookingStatus} from './booking-peers.js';
import {isSameRequest, parseBookingRecord} from './booking-record.js';
import type {BookingSettler} from './booking-settler.js';
import type {BookingRecord} from './types.js';

/** Outcome of a call whose record another attempt created. */
export type FollowResult = {
	readonly outcome: BookingOutcome;
	/** True if the outcome can be cached, since the record is final. */
	readonly isFinal: boolean;
};

/** Determines the outcome of calls whose record was created by another attempt. */
export type BookingFollower = {
	/**
	 * Reads the outcome from the record, or requests it from the owner or the target if the record is
	 * not final. Never rejects.
	 * @param row - row of the record
	 */
	follow(booking: OpenBooking, row: Row): Promise<FollowResult>;
};

const notFinal = (outcome: BookingOutcome): FollowResult => ({
	outcome,
	isFinal: false,
});

const unknown = (message: string, cause?: Error): FollowResult =>
	notFinal(problemOutcome('outcome-unknown', message, cause));

const notRun = (): FollowResult =>
	notFinal(finalNotRunOutcome('this call was given up and did not run'));

export function createBookingFollower(
	context: BookingContext,
	executor: BookingExecutor,
	settler: BookingSettler,
): BookingFollower {
	const {records, clock, peers} = context;

	const requestStatus = async (
		booking: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<BookingStatus | 'unreachable'> => {
		if (record.owner === context.incarnation) {
			const isMarked = await executor.markUntrackedNotRun(row, record);
			return isMarked ? 'not-run' : 'recorded';
		}

		context.count('owner-asked');
		try {
			return await peers.requestStatus(record.ownerAddress, {
				account: booking.call.account,
				key: booking.call.key,
				owner: record.owner,
				attemptId: record.attemptId,
				waitMs: Math.max(0, booking.deadlineMs - clock.nowMs()),
			});
		} catch {
			return 'unreachable';
		}
	};

	const settle = async (
		booking: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<FollowResult> => {
		const outcome = await settler.settle(booking.call.key, row, record);
		return outcome
			? {outcome, isFinal: outcome.kind === 'answer'}
			: unknown(
					'this call may have run; repeat it later with the same Idempotency-Key',
				);
	};

	const followStarted = async (
		booking: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<FollowResult | Row> => {
		const status = await requestStatus(booking, row, record);
		switch (status) {
			case 'not-run': {
				return notRun();
			}

			case 'running': {
				return unknown(
					'this call is running; repeat it later with the same Idempotency-Key',
				);
			}

			case 'recorded': {
				const next = await records.read(booking.call.account, booking.call.key);
				return next && next.version !== row.version
					? next
					: unknown(
							'the record of this call is not final; repeat the call later with the same Idempotency-Key',
						);
			}

			case 'other-process':
			case 'unreachable': {
				return settle(booking, row, record);
			}
		}
	};

	const followRow = async (
		booking: OpenBooking,
		row: Row,
	): Promise<FollowResult | Row> => {
		const record = parseBookingRecord(row);
		if (
			context.isCheckEnabled('body-hash') &&
			!isSameRequest(record, booking.call)
		) {
			return notFinal(
				problemOutcome(
					'idempotency-key-reused',
					'Idempotency-Key was used before with another request',
				),
			);
		}

		if (record.state === 'started') {
			return followStarted(booking, row, record);
		}

		if (record.state === 'unknown') {
			return settle(booking, row, record);
		}

		context.count('found-recorded');
		const outcome = await settler.outcomeOf(record);
		const isFinal = record.state === 'not-run' || outcome!.kind === 'answer';
		return {outcome: outcome!, isFinal};
	};

	return {
		async follow(booking, row) {
			let current = row;
			for (;;) {
				try {
					const result = await followRow(booking, current);
					if ('outcome' in result) {
						return result;
					}

					current = result;
				} catch (error) {
					const problem = toProblem(error);
					if (problem.type === 'table-corrupt-row') {
						context.count('corrupt-row');
					}

					return unknown('the record of this call cannot be read', problem);
				}
			}
		},
	};
}
