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

/** What a VM finds for a call whose record it did not create. */
export type FollowResult = {
	readonly outcome: BookingOutcome;
	/** Whether the record is final, so that the outcome never changes. */
	readonly isFinal: boolean;
};

/** Answers calls from records that other attempts created. */
export type BookingFollower = {
	follow(entry: OpenBooking, row: Row): Promise<FollowResult>;
};

const open = (outcome: BookingOutcome): FollowResult => ({
	outcome,
	isFinal: false,
});

const unknown = (message: string, cause?: Error): FollowResult =>
	open(problemOutcome('outcome-unknown', message, cause));

const notRun = (): FollowResult =>
	open(finalNotRunOutcome('this call was given up and did not run'));

/** Creates the side of a VM that does not own the record. */
export function createBookingFollower(
	context: BookingContext,
	owner: BookingExecutor,
	settler: BookingSettler,
): BookingFollower {
	const {records, clock, peers} = context;

	const ask = async (
		entry: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<BookingStatus | 'unreachable'> => {
		if (record.owner === context.incarnation) {
			const closed = await owner.markUntrackedNotRun(row, record);
			return closed ? 'not-run' : 'recorded';
		}

		context.count('owner-asked');
		try {
			return await peers.requestStatus(record.ownerAddress, {
				account: entry.call.account,
				key: entry.call.key,
				owner: record.owner,
				attemptId: record.attemptId,
				waitMs: Math.max(0, entry.deadlineMs - clock.nowMs()),
			});
		} catch {
			return 'unreachable';
		}
	};

	const settle = async (
		entry: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<FollowResult> => {
		const outcome = await settler.settle(entry.call.key, row, record);
		return outcome
			? {outcome, isFinal: outcome.kind === 'answer'}
			: unknown('this call may have run; ask again later');
	};

	const followStarted = async (
		entry: OpenBooking,
		row: Row,
		record: BookingRecord,
	): Promise<FollowResult | Row> => {
		const status = await ask(entry, row, record);
		switch (status) {
			case 'not-run': {
				return notRun();
			}

			case 'running': {
				return unknown('this call is running; ask again later');
			}

			case 'recorded': {
				const next = await records.read(entry.call.account, entry.call.key);
				return next && next.version !== row.version
					? next
					: unknown('the record of this call is not final; ask again later');
			}

			case 'other-process':
			case 'unreachable': {
				return settle(entry, row, record);
			}
		}
	};

	const followRow = async (
		entry: OpenBooking,
		row: Row,
	): Promise<FollowResult | Row> => {
		const record = parseBookingRecord(row);
		if (
			context.isCheckEnabled('body-hash') &&
			!isSameRequest(record, entry.call)
		) {
			return open(
				problemOutcome(
					'idempotency-key-reused',
					'Idempotency-Key was used before with another request',
				),
			);
		}

		if (record.state === 'started') {
			return followStarted(entry, row, record);
		}

		if (record.state === 'unknown') {
			return settle(entry, row, record);
		}

		context.count('found-recorded');
		const outcome = await settler.outcomeOf(record);
		const isFinal = record.state === 'not-run' || outcome!.kind === 'answer';
		return {outcome: outcome!, isFinal};
	};

	return {
		async follow(entry, row) {
			let current = row;
			for (;;) {
				try {
					const result = await followRow(entry, current);
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
