import {
	type Arrival,
	type ObservedRequest,
	requestsById,
	isUndisrupted,
	movingServicePrefix,
	type Observations,
} from '../observations.js';
import type {InvariantName, Violation} from './invariant-check.js';

/** Time for which requests that crossed a change may still be handled as before. */
const crossingMs = 250;

type Handling = {
	readonly attempt: ObservedRequest;
	readonly arrival: Arrival;
	/** Version of the configuration by which the request was handled. */
	readonly version: number;
};

function handlings(observations: Observations): Handling[] {
	const attempts = requestsById(observations);
	return observations.arrivals.flatMap((arrival) => {
		const attempt = attempts.get(arrival.requestId);
		return attempt && arrival.service.startsWith(movingServicePrefix)
			? [
					{
						attempt,
						arrival,
						version: Number(arrival.service.slice(movingServicePrefix.length)),
					},
				]
			: [];
	});
}

const violation = (
	promise: InvariantName,
	{attempt, version}: Handling,
	newest: number,
): Violation => ({
	promise,
	detail: `VM ${attempt.vm} handled ${attempt.id} by version ${version} after version ${newest}`,
});

/** A process that has acted on a version never acts on an older one. */
export function checkConfigurationForward(
	observations: Observations,
): Violation[] {
	const all = handlings(observations);
	return observations.incarnations.flatMap(({vm, startMs, endMs}) => {
		const own = all.filter(
			({attempt}) =>
				attempt.vm === vm &&
				attempt.sentMs >= startMs &&
				attempt.sentMs < endMs,
		);
		return own.flatMap((later) => {
			const before = own.find(
				({version, arrival}) =>
					version > later.version &&
					arrival.atMs + crossingMs < later.attempt.sentMs,
			);
			return before
				? [violation('configuration-forward', later, before.version)]
				: [];
		});
	});
}

/** VMs without a fault act on a version soon after the store has it. */
export function checkConfigurationApplied(
	observations: Observations,
): Violation[] {
	const {configurations, bounds} = observations;
	return handlings(observations).flatMap((handling) => {
		const {attempt, version} = handling;
		const due = configurations.find(
			(ack) =>
				ack.version > version &&
				ack.atMs + bounds.configurationApplyMs < attempt.sentMs &&
				isUndisrupted(observations, attempt.vm, [ack.atMs, attempt.sentMs]),
		);
		return due
			? [violation('configuration-applied', handling, due.version)]
			: [];
	});
}
