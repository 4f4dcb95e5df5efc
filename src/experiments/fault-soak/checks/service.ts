import {
	type ObservedRequest,
	type Disruption,
	isUndisrupted,
	type Observations,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

const okStatus = 200;
const notRunStatus = 503;
/** Time in which a caller notices that its connection was closed as it sent. */
const crossingMs = 200;
/** Part of the requests of the last phase that is served. */
const recoveredPart = 0.9;

/** Planned work that must cut no request. */
const isPlanned = ({kind}: Disruption) =>
	kind === 'vm-stop' || kind === 'vm-reload' || kind === 'start';

const isServed = ({status, isWhole}: ObservedRequest) =>
	status === okStatus && isWhole;

/**
 * True if a process held the request and closed its connection. One that crosses the close of its
 * connection, or meets no process or one that is starting, is not lost.
 */
function isHeldAndClosed(
	observations: Observations,
	{vm, sentMs, endedMs = sentMs}: ObservedRequest,
): boolean {
	const isStarted = isUndisrupted(
		observations,
		vm,
		[sentMs, endedMs],
		(one) => isPlanned(one) && one.kind !== 'start',
	);
	return (
		endedMs > sentMs + crossingMs &&
		isStarted &&
		observations.incarnations.some(
			(one) => one.vm === vm && one.startMs < sentMs && one.endMs > endedMs,
		)
	);
}

/** Requests that meet no fault, planned stops aside, are answered or truly refused. */
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
		.filter((attempt) => !isServed(attempt) && attempt.status !== notRunStatus)
		.filter(
			(attempt) =>
				attempt.status !== undefined ||
				arrived.has(attempt.id) ||
				isHeldAndClosed(observations, attempt),
		)
		.map(({id, kind, status}) => ({
			promise: 'calm-service',
			detail: `${kind} ${id} met no fault and ended with ${status ?? 'a closed connection'}`,
		}));
}

/** Service is back some seconds after the last fault. */
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
	const served = sent.filter((attempt) => isServed(attempt));
	return served.length < recoveredPart * sent.length
		? [
				{
					promise: 'recovery',
					detail: `${served.length} of ${sent.length} requests were served after the last fault`,
				},
			]
		: [];
}
