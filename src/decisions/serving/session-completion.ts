import type {ResponseHead, Clock, Timers} from '../../common/index.js';
import {
	localResponseStatus,
	sendUnanswered,
	unansweredStatus,
} from './refusals.js';
import type {
	AdmittedRequest,
	CallerResponse,
	DecisionLog,
	DecisionRecord,
} from './session-types.js';

/** What the end of a session needs. */
export type SessionCompletionOptions = {
	/** Event of the log line. */
	readonly logMessage: string;
	readonly admitted: AdmittedRequest;
	readonly reply: CallerResponse;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly log: DecisionLog;
	/** Time after which a caller whose request has not run may come back, in milliseconds. */
	readonly retryAfterMs: number;
	/**
	 * Ends what is under way.
	 * @returns what the log line says besides
	 */
	readonly release: () => DecisionRecord;
	/** The time of the request is over. */
	readonly onTimeout: () => void;
};

/** The one end of a session: the first of its answers counts, the others do nothing. */
export type SessionCompletion = {
	readonly isDone: boolean;
	/** Passes on a whole answer of a target. */
	sendResponse(head: ResponseHead, body: Uint8Array, outcome: string): void;
	/** Ends a stream whole. */
	endStream(status: number): void;
	/** Closes the connection, so that nothing looks whole. */
	abort(outcome: string): void;
	/**
	 * Answers that no target has, and whether the request may have run. An answer that was begun is
	 * broken off.
	 * @param retryAfterMs - replaces the usual time after which the caller may come back
	 */
	sendUnanswered(
		mayHaveRun: boolean,
		reason: string,
		retryAfterMs?: number,
	): void;
	/** The same for a request that may have run and whose time is over. */
	sendTimeout(): void;
};

/** Creates the end of a session that goes on until then, or until the time of its request is over. */
export function createSessionCompletion(
	options: SessionCompletionOptions,
): SessionCompletion {
	const {admitted, reply, clock, timers, log, retryAfterMs} = options;
	let isDone = false;
	const timeout = timers.after(
		admitted.deadlineMs - clock.nowMs(),
		options.onTimeout,
	);

	const finish = (
		answer: () => void,
		outcome: string,
		status: number | undefined,
	) => {
		if (isDone) {
			return;
		}

		isDone = true;
		timeout.dispose();
		const record = options.release();
		answer();
		log(options.logMessage, {
			request: admitted.request.id,
			route: admitted.route.name,
			outcome,
			status,
			...record,
			durationMs: Math.round(clock.nowMs() - admitted.arrivedMs),
		});
	};

	const abort = (outcome: string) => {
		finish(
			() => {
				reply.abort();
			},
			outcome,
			undefined,
		);
	};

	return {
		get isDone() {
			return isDone;
		},
		sendResponse(head, body, outcome) {
			finish(
				() => {
					reply.sendResponse(head, body);
				},
				outcome,
				head.status,
			);
		},
		endStream(status) {
			finish(
				() => {
					reply.end();
				},
				'answered',
				status,
			);
		},
		abort,
		sendUnanswered(mayHaveRun, reason, afterMs = retryAfterMs) {
			if (reply.isHeadSent) {
				abort(reason);
				return;
			}

			finish(
				() => {
					sendUnanswered(reply, mayHaveRun, reason, afterMs);
				},
				reason,
				unansweredStatus(mayHaveRun),
			);
		},
		sendTimeout() {
			if (reply.isHeadSent) {
				abort('timed out');
				return;
			}

			finish(
				() => {
					reply.sendLocalResponse(
						localResponseStatus.timedOut,
						'no answer in time',
					);
				},
				'timed out',
				localResponseStatus.timedOut,
			);
		},
	};
}
