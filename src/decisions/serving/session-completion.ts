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

/** Options of a session completion. */
export type SessionCompletionOptions = {
	/** Message of the log line. */
	readonly logMessage: string;
	readonly admitted: AdmittedRequest;
	readonly callerResponse: CallerResponse;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly log: DecisionLog;
	/** `Retry-After` for a request that no target has run, in milliseconds. */
	readonly retryAfterMs: number;
	/**
	 * Cancels all sends and releases the resources of the session.
	 * @returns additional fields of the log line
	 */
	readonly release: () => DecisionRecord;
	/** Called at the deadline of the request. */
	readonly onTimeout: () => void;
};

/** Completes a session with its final response. Only the first call has an effect. */
export type SessionCompletion = {
	readonly isDone: boolean;
	/** Sends a complete response of a target. */
	sendResponse(head: ResponseHead, body: Uint8Array, outcome: string): void;
	/** Ends a stream normally. */
	endStream(status: number): void;
	/** Closes the connection, so that the caller sees the response as incomplete. */
	abort(outcome: string): void;
	/**
	 * Responds without a response from a target that can be forwarded; the status says whether the request
	 * may have run. A response that was started is aborted.
	 * @param retryAfterMs - replaces the default `Retry-After`, in milliseconds
	 */
	sendUnanswered(
		mayHaveRun: boolean,
		reason: string,
		retryAfterMs?: number,
	): void;
	/** Reports a timeout of a request that may have run. A response that was started is aborted. */
	sendTimeout(): void;
};

/** Creates the completion of a session and starts the timer for its deadline. */
export function createSessionCompletion(
	options: SessionCompletionOptions,
): SessionCompletion {
	const {admitted, callerResponse, clock, timers, log, retryAfterMs} = options;
	let isDone = false;
	const timeout = timers.after(
		admitted.deadlineMs - clock.nowMs(),
		options.onTimeout,
	);

	const finish = (
		respond: () => void,
		outcome: string,
		status: number | undefined,
		adviceMs?: number,
	) => {
		if (isDone) {
			return;
		}

		isDone = true;
		timeout.dispose();
		const sessionFields = options.release();
		respond();
		log(options.logMessage, {
			request: admitted.request.id,
			route: admitted.route.name,
			outcome,
			status,
			retryAfterMs: adviceMs === undefined ? undefined : Math.round(adviceMs),
			...sessionFields,
			durationMs: Math.round(clock.nowMs() - admitted.arrivedMs),
		});
	};

	const abort = (outcome: string) => {
		finish(
			() => {
				callerResponse.abort();
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
					callerResponse.sendResponse(head, body);
				},
				outcome,
				head.status,
			);
		},
		endStream(status) {
			finish(
				() => {
					callerResponse.end();
				},
				'answered',
				status,
			);
		},
		abort,
		sendUnanswered(mayHaveRun, reason, afterMs = retryAfterMs) {
			if (callerResponse.isHeadSent) {
				abort(reason);
				return;
			}

			finish(
				() => {
					sendUnanswered(callerResponse, mayHaveRun, reason, afterMs);
				},
				reason,
				unansweredStatus(mayHaveRun),
				mayHaveRun ? undefined : afterMs,
			);
		},
		sendTimeout() {
			if (callerResponse.isHeadSent) {
				abort('timed out');
				return;
			}

			finish(
				() => {
					callerResponse.sendLocalResponse(
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
