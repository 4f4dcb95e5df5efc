import {
	type Arrival,
	type Attempt,
	attemptsById,
	isUndisrupted,
	movingServicePrefix,
	type Observations,
} from '../observations.js';
import type {InvariantName, Violation} from './invariant-check.js';

/** Time for which requests sent during a change may still be handled by the older version. */
const transitionMs = 250;

/** A request to the `moving` route, with the version that routed it. */
type Handling = {
	readonly attempt: Attempt;
	readonly arrival: Arrival;
	/** Configuration version by which the request was handled. */
	readonly version: number;
};

/** Finds the requests whose target shows by which version they were handled. */
function handlings(observations: Observations): Handling[] {
	const attempts = attemptsById(observations);
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

/** A process that has handled a request by one version handles no later request by an older one. */
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
					arrival.atMs + transitionMs < later.attempt.sentMs,
			);
			return before
				? [violation('configuration-forward', later, before.version)]
				: [];
		});
	});
}

/** VMs without a fault apply a version within `configurationApplyMs` of its write to the store. */
export function checkConfigurationApplied(
	observations: Observations,
): Violation[] {
	const {configurations, bounds} = observations;
	return handlings(observations).flatMap((handling) => {
		const {attempt, version} = handling;
		const due = configurations.find(
			(write) =>
				write.version > version &&
				write.atMs + bounds.configurationApplyMs < attempt.sentMs &&
				isUndisrupted(observations, attempt.vm, [write.atMs, attempt.sentMs]),
		);
		return due
			? [violation('configuration-applied', handling, due.version)]
			: [];
	});
}
