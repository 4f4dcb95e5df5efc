import type {SendFailure} from '../../common/index.js';
import type {RunContinuation} from './run-continuation.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamResponse} from './stream-answer.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';
import type {StreamSessionOptions} from './stream-session-types.js';

export type LostRunRecoveryOptions = {
	readonly admitted: AdmittedRequest;
	readonly session: Pick<
		StreamSessionOptions,
		'isPresent' | 'log' | 'onRunLost'
	>;
	readonly copies: StreamCopies;
	readonly continuation: RunContinuation;
	readonly response: StreamResponse;
	readonly giveUp: (reason: string) => void;
};

/** Continues the lost run of one stream from a copy, or gives it up. */
export type LostRunRecovery = {
	/** @param isGranted - true if the retry budget has already been charged for continuing the run */
	recover(
		attempt: StreamAttempt,
		failure: SendFailure,
		isGranted: boolean,
	): void;
};

/** Engines lost in a row without much progress, after which a run is not continued: the request may have ended them. */
const maxEarlyLosses = 2;
/** Events that an engine sends for a run that has not ended it. */
const minProgressEvents = 20;

export function createLostRunRecovery({
	admitted,
	session,
	copies,
	continuation,
	response,
	giveUp,
}: LostRunRecoveryOptions): LostRunRecovery {
	let earlyLossCount = 0;

	/** Engines that leave close their connections too, but their runs have seldom had no event. */
	const countLoss = (
		targetId: string,
		connectionEnded: boolean,
		attemptEventCount: number,
	) => {
		const mayBeCrash = response.eventCount === 0 || session.isPresent(targetId);
		if (attemptEventCount >= minProgressEvents) {
			earlyLossCount = 0;
		} else if (connectionEnded && mayBeCrash) {
			earlyLossCount++;
		}
	};

	const giveUpLostRun = () => {
		giveUp('the run was lost');
	};

	return {
		recover(attempt, {connectionEnded}, isGranted) {
			const {eventCount} = response;
			const attemptEventCount = eventCount - attempt.eventCountBefore;
			const {target, backup} = attempt.placement;
			const copy = copies.runLost(attempt);
			session.log('run lost', {
				request: admitted.request.id,
				target: target.id,
				progressMs: attempt.progressMs,
				backup: backup?.id,
				copy,
			});
			session.onRunLost({
				request: admitted.request,
				target,
				sentMs: attempt.startedMs,
				status: attempt.failedStatus,
				eventCount,
				attemptEventCount,
				connectionEnded,
				copy,
			});
			countLoss(target.id, connectionEnded, attemptEventCount);
			if (earlyLossCount < maxEarlyLosses) {
				continuation.start('run lost', giveUpLostRun, isGranted);
			} else {
				giveUpLostRun();
			}
		},
	};
}
