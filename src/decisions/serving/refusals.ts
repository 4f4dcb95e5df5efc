import type {HeaderPair} from '../../common/index.js';
import type {CallerReply} from './session-types.js';

/** Statuses that this system answers with itself. */
export const ownStatus = {
	unauthorized: 401,
	notFound: 404,
	/** The request may have run; its outcome is not known. */
	outcomeUnknown: 502,
	/** The request has not run and never will. */
	notRun: 503,
	/** The request may have run; no answer came in time. */
	timedOut: 504,
} as const;

const millisecondsPerSecond = 1000;

/** `Retry-After` in seconds with fractions. */
export function retryAfterHeader(delayMs: number): HeaderPair {
	return ['Retry-After', (delayMs / millisecondsPerSecond).toFixed(2)];
}

/** Refuses a request that has not run and tells when to come back. */
export function refuseNotRun(
	reply: CallerReply,
	reason: string,
	retryAfterMs: number,
): void {
	reply.own(ownStatus.notRun, reason, [retryAfterHeader(retryAfterMs)]);
}
