import type {Clock, Timers} from '../../common/index.js';
import type {
	AdmittedRequest,
	DecisionLog,
	DecisionRecord,
} from './session-types.js';

/** What the end of a session needs. */
export type SessionEndingOptions = {
	/** Event of the log line. */
	readonly event: string;
	readonly admitted: AdmittedRequest;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly log: DecisionLog;
	/**
	 * Ends what is under way.
	 * @returns what the log line says besides
	 */
	readonly release: () => DecisionRecord;
	/** The time of the request is over. */
	readonly onTimeout: () => void;
};

/** The one end of a session, by whichever event comes first. */
export type SessionEnding = {
	readonly isDone: boolean;
	/**
	 * Ends the session.
	 * @param answer - gives the caller its final answer
	 */
	finish(answer: () => void, outcome: string, status?: number): void;
};

/** Creates the end of a session that goes on until then, or until the time of its request is over. */
export function createSessionEnding(
	options: SessionEndingOptions,
): SessionEnding {
	const {admitted, clock, timers, log} = options;
	let isDone = false;
	const timeout = timers.after(
		admitted.deadlineMs - clock.nowMs(),
		options.onTimeout,
	);
	return {
		get isDone() {
			return isDone;
		},
		finish(answer, outcome, status) {
			if (isDone) {
				return;
			}

			isDone = true;
			timeout.dispose();
			const record = options.release();
			answer();
			log(options.event, {
				request: admitted.request.id,
				route: admitted.route.name,
				outcome,
				status,
				...record,
				durationMs: Math.round(clock.nowMs() - admitted.arrivedMs),
			});
		},
	};
}
