import {type HeaderPair, misdirectedStatus} from '../../common/index.js';
import type {CallerResponse} from './session-types.js';

/** Statuses of the responses that a VM generates itself. */
export const localResponseStatus = {
	unauthorized: 401,
	notFound: 404,
	/** The request may have run; its outcome is unknown. */
	outcomeUnknown: 502,
	/** The request has not run and will not run. */
	notRun: 503,
	/** The request may have run; no response arrived in time. */
	timedOut: 504,
} as const;

const notRunStatuses: ReadonlySet<number> = new Set([
	408,
	misdirectedStatus,
	429,
	503,
]);

/** True for statuses that promise the caller that its request has not run and will not run. */
export function promisesNotRun(status: number): boolean {
	return notRunStatuses.has(status);
}

const millisecondsPerSecond = 1000;

/** Creates the `Retry-After` header, in seconds with two decimals. */
export function retryAfterHeader(delayMs: number): HeaderPair {
	return ['Retry-After', (delayMs / millisecondsPerSecond).toFixed(2)];
}

/** Refuses a request that has not run, with a `Retry-After` header. */
export function refuseNotRun(
	callerResponse: CallerResponse,
	reason: string,
	retryAfterMs: number,
): void {
	callerResponse.sendLocalResponse(localResponseStatus.notRun, reason, [
		retryAfterHeader(retryAfterMs),
	]);
}

/** Status for a request without a response from a target that can be forwarded. */
export function unansweredStatus(mayHaveRun: boolean): number {
	return mayHaveRun
		? localResponseStatus.outcomeUnknown
		: localResponseStatus.notRun;
}

/**
 * Responds to a request without a response from a target that can be forwarded. `Retry-After` is sent
 * only if the request has not run.
 */
export function sendUnanswered(
	callerResponse: CallerResponse,
	mayHaveRun: boolean,
	reason: string,
	retryAfterMs: number,
): void {
	if (mayHaveRun) {
		callerResponse.sendLocalResponse(
			localResponseStatus.outcomeUnknown,
			reason,
		);
	} else {
		refuseNotRun(callerResponse, reason, retryAfterMs);
	}
}
