import type {HeaderPair} from '../../common/index.js';
import type {CallerResponse} from './session-types.js';

/** Statuses that this system answers with itself. */
export const localResponseStatus = {
	unauthorized: 401,
	notFound: 404,
	/** The request may have run; its outcome is not known. */
	outcomeUnknown: 502,
	/** The request has not run and never will. */
	notRun: 503,
	/** The request may have run; no answer came in time. */
	timedOut: 504,
} as const;

/** Another target than the expected one answers at the address. */
export const misdirectedStatus = 421;

const promises: ReadonlySet<number> = new Set([
	408,
	misdirectedStatus,
	429,
	503,
]);

/** True for statuses that promise a caller that its request has not run and never will. */
export function promisesNotRun(status: number): boolean {
	return promises.has(status);
}

const millisecondsPerSecond = 1000;

/** `Retry-After` in seconds with fractions. */
export function retryAfterHeader(delayMs: number): HeaderPair {
	return ['Retry-After', (delayMs / millisecondsPerSecond).toFixed(2)];
}

/** Refuses a request that has not run and tells when to come back. */
export function refuseNotRun(
	reply: CallerResponse,
	reason: string,
	retryAfterMs: number,
): void {
	reply.sendLocalResponse(localResponseStatus.notRun, reason, [
		retryAfterHeader(retryAfterMs),
	]);
}

/** Status for a request that no target answered. */
export function unansweredStatus(mayHaveRun: boolean): number {
	return mayHaveRun
		? localResponseStatus.outcomeUnknown
		: localResponseStatus.notRun;
}

/** Answers a request that no target answered; only one that has not run is asked to come back. */
export function sendUnanswered(
	reply: CallerResponse,
	mayHaveRun: boolean,
	reason: string,
	retryAfterMs: number,
): void {
	if (mayHaveRun) {
		reply.sendLocalResponse(localResponseStatus.outcomeUnknown, reason);
	} else {
		refuseNotRun(reply, reason, retryAfterMs);
	}
}
