import type {SendFailure} from '../../common/index.js';
import type {RunContinuation} from './run-continuation.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamResponse} from './stream-answer.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';
import type {StreamSessionOptions} from './stream-session-types.js';

export type LostRunRecoveryOptions = {
	readonly admitted: AdmittedRequest;
	readonly session: Pick<StreamSessionOptions, 'onRunLost'>;
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

/** Engines lost before the first event after which a run is not continued: the request may have ended them. */
const maxLostBeforeEvent = 2;

export function createLostRunRecovery({
	admitted,
	session,
	copies,
	continuation,
	response,
	giveUp,
}: LostRunRecoveryOptions): LostRunRecovery {
	let lostBeforeEventCount = 0;

	const giveUpLostRun = () => {
		giveUp('the run was lost');
	};

	return {
		recover(attempt, {connectionEnded}, isGranted) {
			const {eventCount} = response;
			session.onRunLost({
				request: admitted.request,
				target: attempt.placement.target,
				sentMs: attempt.startedMs,
				status: attempt.failedStatus,
				eventCount,
				connectionEnded,
			});
			copies.runLost(attempt);
			if (eventCount === 0 && connectionEnded) {
				lostBeforeEventCount++;
			}

			if (lostBeforeEventCount < maxLostBeforeEvent) {
				continuation.start('run lost', giveUpLostRun, isGranted);
			} else {
				giveUpLostRun();
			}
		},
	};
}
