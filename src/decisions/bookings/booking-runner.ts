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

/** Takes an open booking from its claim to its end. */
export type BookingRunner = {
	/** Resolves when the booking needs this VM's memory no longer. */
	run(entry: OpenBooking): Promise<void>;
};

/** Creates a runner. */
export function createBookingRunner(
	context: BookingContext,
	owner: BookingExecutor,
	follower: BookingFollower,
	remember: (entry: OpenBooking, outcome: BookingOutcome) => void,
): BookingRunner {
	const {records, clock, limits} = context;

	const follow = async (entry: OpenBooking, row: Row): Promise<void> => {
		if (entry.phase === 'claiming') {
			entry.phase = 'following';
		}

		const {outcome, isFinal} = await follower.follow(entry, row);
		if (isFinal) {
			remember(entry, outcome);
		}

		entry.finish(outcome);
	};

	/** Answers a repeat although no target takes new calls now. */
	const runWithoutTarget = async (
		entry: OpenBooking,
		problem: ProblemError,
	): Promise<void> => {
		const {account, key} = entry.call;
		let row;
		try {
			row = await records.read(account, key);
		} catch {
			row = undefined;
		}

		if (row) {
			await follow(entry, row);
		} else {
			entry.finish({kind: 'problem', problem});
		}
	};

	const giveUp = async (
		entry: OpenBooking,
		record: BookingRecord,
		outcome: BookingOutcome,
	): Promise<void> => {
		entry.phase = 'given-up';
		entry.finish(outcome);
		await owner.markGivenUpNotRun(entry, record);
	};

	const maySend = (entry: OpenBooking): boolean =>
		!context.isCheckEnabled('give-up-before-send') ||
		(entry.phase === 'claiming' && clock.nowMs() < entry.deadlineMs);

	const runWithTarget = async (
		entry: OpenBooking,
		target: PlainService,
	): Promise<void> => {
		const {call, attemptId} = entry;
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
			entry.deadlineMs,
		);
		const claim = await records.claim(call, record, untilMs, () => {
			context.count('claim-uncertain');
			if (!context.isCheckEnabled('give-up-uncertain-claim')) {
				entry.finish(problemOutcome('not-run', 'the table is unavailable'));
			}
		});
		switch (claim.kind) {
			case 'claimed': {
				context.count('claimed');
				if (!maySend(entry)) {
					await giveUp(
						entry,
						record,
						finalNotRunOutcome('the deadline passed before the call ran'),
					);
					return;
				}

				const outcome = await owner.execute(entry, claim.row, record, target);
				if (outcome) {
					remember(entry, outcome);
				}

				return;
			}

			case 'taken': {
				await follow(entry, claim.row);
				return;
			}

			case 'uncertain': {
				await giveUp(
					entry,
					record,
					problemOutcome(
						'not-run',
						'the table service did not confirm the claim; the call was given up',
						claim.problem,
					),
				);
				return;
			}

			case 'not-written': {
				entry.phase = 'given-up';
				entry.finish(
					problemOutcome(
						'not-run',
						'the table service is unavailable',
						claim.problem,
					),
				);
				return;
			}

			case 'expired': {
				entry.finish(
					problemOutcome(
						'idempotency-key-expired',
						'time in Idempotency-Key is older than the retention of records',
					),
				);
			}
		}
	};

	return {
		async run(entry) {
			let target;
			try {
				target = context.chooseTarget(entry.call.service);
			} catch (error) {
				await runWithoutTarget(entry, toProblem(error));
				return;
			}

			await runWithTarget(entry, target);
		},
	};
}
