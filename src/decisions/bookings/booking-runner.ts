import {
	type PlainService,
	type ProblemError,
	type Row,
	toProblem,
} from '../../common/index.js';
import type {BookingContext} from './booking-context.js';
import {
	type OpenBooking,
	type BookingOutcome,
	finalNotRunOutcome,
	problemOutcome,
} from './open-booking.js';
import type {BookingFollower} from './booking-follower.js';
import type {BookingExecutor} from './booking-executor.js';
import type {BookingRecord} from './types.js';

/** Runs an open booking: claims its record, calls the target and records the outcome. */
export type BookingRunner = {
	/** Resolves when the booking need not stay open on this VM. */
	run(booking: OpenBooking): Promise<void>;
};

/**
 * Creates a runner.
 * @param cacheOutcome - called with every final outcome
 */
export function createBookingRunner(
	context: BookingContext,
	executor: BookingExecutor,
	follower: BookingFollower,
	cacheOutcome: (booking: OpenBooking, outcome: BookingOutcome) => void,
): BookingRunner {
	const {records, clock, limits} = context;

	const follow = async (booking: OpenBooking, row: Row): Promise<void> => {
		if (booking.phase === 'claiming') {
			booking.phase = 'following';
		}

		const {outcome, isFinal} = await follower.follow(booking, row);
		if (isFinal) {
			cacheOutcome(booking, outcome);
		}

		booking.finish(outcome);
	};

	/** Follows the record of an earlier attempt, if there is one, when no target could be chosen. */
	const runWithoutTarget = async (
		booking: OpenBooking,
		problem: ProblemError,
	): Promise<void> => {
		const {account, key} = booking.call;
		let row;
		try {
			row = await records.read(account, key);
		} catch {
			row = undefined;
		}

		if (row) {
			await follow(booking, row);
		} else {
			booking.finish({kind: 'problem', problem});
		}
	};

	const giveUp = async (
		booking: OpenBooking,
		record: BookingRecord,
		outcome: BookingOutcome,
	): Promise<void> => {
		booking.phase = 'given-up';
		booking.finish(outcome);
		await executor.markGivenUpNotRun(booking, record);
	};

	const maySend = (booking: OpenBooking): boolean =>
		!context.isCheckEnabled('give-up-before-send') ||
		(booking.phase === 'claiming' && clock.nowMs() < booking.deadlineMs);

	const runWithTarget = async (
		booking: OpenBooking,
		target: PlainService,
	): Promise<void> => {
		const {call, attemptId} = booking;
		const record: BookingRecord = {
			state: 'started',
			owner: context.incarnation,
			ownerAddress: context.ownerAddress(),
			attemptId,
			bodyHash: call.bodyHash,
			service: call.service,
			targetId: target.description.id,
			startedWallMs: clock.wallMs(),
		};
		const untilMs = Math.min(
			clock.nowMs() + limits.claimTimeoutMs,
			booking.deadlineMs,
		);
		const claim = await records.claim(call, record, untilMs, () => {
			context.count('claim-uncertain');
			if (!context.isCheckEnabled('give-up-uncertain-claim')) {
				booking.finish(problemOutcome('not-run', 'the table is unavailable'));
			}
		});
		switch (claim.kind) {
			case 'claimed': {
				context.count('claimed');
				if (!maySend(booking)) {
					await giveUp(
						booking,
						record,
						finalNotRunOutcome('the deadline passed before the call ran'),
					);
					return;
				}

				const outcome = await executor.execute(
					booking,
					claim.row,
					record,
					target,
				);
				if (outcome) {
					cacheOutcome(booking, outcome);
				}

				return;
			}

			case 'taken': {
				await follow(booking, claim.row);
				return;
			}

			case 'uncertain': {
				await giveUp(
					booking,
					record,
					problemOutcome(
						'not-run',
						'the table service did not confirm that the call was recorded; the call was given up',
						claim.problem,
					),
				);
				return;
			}

			case 'not-written': {
				booking.phase = 'given-up';
				booking.finish(
					problemOutcome(
						'not-run',
						'the table service is unavailable',
						claim.problem,
					),
				);
				return;
			}

			case 'expired': {
				booking.finish(
					problemOutcome(
						'idempotency-key-expired',
						'time in Idempotency-Key is older than the retention of records',
					),
				);
			}
		}
	};

	return {
		async run(booking) {
			let target;
			try {
				target = context.chooseTarget(booking.call.service);
			} catch (error) {
				await runWithoutTarget(booking, toProblem(error));
				return;
			}

			await runWithTarget(booking, target);
		},
	};
}
