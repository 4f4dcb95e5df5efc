import {
	type ObservedRequest,
	type Disruption,
	isUndisrupted,
	type Observations,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

const okStatus = 200;
const refusedStatus = 503;
/** Time for a caller to notice that its connection was closed while it sent, in milliseconds. */
const noticeCloseMs = 200;
/** Fraction of the requests sent after recovery that must be served. */
const minServedFraction = 0.9;

/** True for planned stops, reloads and starts, which must not cut off requests. */
const isPlanned = ({kind}: Disruption) =>
	kind === 'vm-stop' || kind === 'vm-reload' || kind === 'start';

const isServed = ({status, isWhole}: ObservedRequest) =>
	status === okStatus && isWhole;

/**
 * True if a running process had the request and closed its connection. A request sent while its
 * connection was being closed, or while the process was starting or not running, does not count.
 */
function wasConnectionClosed(
	observations: Observations,
	{vm, sentMs, endedMs = sentMs}: ObservedRequest,
): boolean {
	const isRunning = isUndisrupted(
		observations,
		vm,
		[sentMs, endedMs],
		(one) => isPlanned(one) && one.kind !== 'start',
	);
	return (
		endedMs > sentMs + noticeCloseMs &&
		isRunning &&
		observations.incarnations.some(
			(one) => one.vm === vm && one.startMs < sentMs && one.endMs > endedMs,
		)
	);
}

/**
 * Requests that meet no fault, apart from planned stops, reloads and starts, are served or refused
 * with 503. One without a status counts only if it reached a target or if a running process closed
 * its connection. Reports, and requests whose caller disconnected or gave up, are left out.
 */
export function checkCalmService(observations: Observations): Violation[] {
	const arrived = new Set(
		observations.arrivals.map(({requestId}) => requestId),
	);
	return observations.attempts
		.filter(
			({kind, endedMs, leftMs}) =>
				kind !== 'report' && endedMs !== undefined && leftMs === undefined,
		)
		.filter(({vm, sentMs, endedMs}) =>
			isUndisrupted(observations, vm, [sentMs, endedMs ?? sentMs], isPlanned),
		)
		.filter((request) => !isServed(request) && request.status !== refusedStatus)
		.filter(
			(request) =>
				request.status !== undefined ||
				arrived.has(request.id) ||
				wasConnectionClosed(observations, request),
		)
		.map(({id, kind, status}) => ({
			promise: 'calm-service',
			detail: `${kind} ${id} met no fault but was not served completely; it ended with ${status ?? 'a closed connection'}`,
		}));
}

/**
 * Most requests sent later than `recoveryMs` after the last fault are served. Those whose caller
 * disconnected or gave up are left out.
 */
export function checkRecovery(observations: Observations): Violation[] {
	const {attempts, calmFromMs, bounds} = observations;
	if (calmFromMs === undefined) {
		return [];
	}

	const sent = attempts.filter(
		({sentMs, endedMs, leftMs}) =>
			sentMs > calmFromMs + bounds.recoveryMs &&
			endedMs !== undefined &&
			leftMs === undefined,
	);
	const served = sent.filter((request) => isServed(request));
	return served.length < minServedFraction * sent.length
		? [
				{
					promise: 'recovery',
					detail: `${served.length} of ${sent.length} requests were served after the last fault`,
				},
			]
		: [];
}
