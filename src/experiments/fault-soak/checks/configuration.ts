import {
	type Arrival,
	type ObservedRequest,
	requestsById,
	isUndisrupted,
	movingServicePrefix,
	type Observations,
} from '../observations.js';
import type {InvariantName, Violation} from './invariant-check.js';

/** Time for which requests sent during a change may still be handled by the older version. */
const transitionMs = 250;

/** A request to the `moving` route, with the version that routed it. */
type Handling = {
	readonly request: ObservedRequest;
	readonly arrival: Arrival;
	/** Configuration version by which the request was handled. */
	readonly version: number;
};

/** Finds the requests whose target shows by which version they were handled. */
function handlings(observations: Observations): Handling[] {
	const requests = requestsById(observations);
	return observations.arrivals.flatMap((arrival) => {
		const request = requests.get(arrival.requestId);
		return request && arrival.service.startsWith(movingServicePrefix)
			? [
					{
						request,
						arrival,
						version: Number(arrival.service.slice(movingServicePrefix.length)),
					},
				]
			: [];
	});
}

const violation = (
	promise: InvariantName,
	{request, version}: Handling,
	newer: number,
): Violation => ({
	promise,
	detail: `VM ${request.vm} handled ${request.id} by version ${version}, but had to use at least version ${newer}`,
});

/** A process that has handled a request by one version handles no later request by an older one. */
export function checkConfigurationForward(
	observations: Observations,
): Violation[] {
	const all = handlings(observations);
	return observations.incarnations.flatMap(({vm, startMs, endMs}) => {
		const own = all.filter(
			({request}) =>
				request.vm === vm &&
				request.sentMs >= startMs &&
				request.sentMs < endMs,
		);
		return own.flatMap((later) => {
			const before = own.find(
				({version, arrival}) =>
					version > later.version &&
					arrival.atMs + transitionMs < later.request.sentMs,
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
		const {request, version} = handling;
		const due = configurations.find(
			(write) =>
				write.version > version &&
				write.atMs + bounds.configurationApplyMs < request.sentMs &&
				isUndisrupted(observations, request.vm, [write.atMs, request.sentMs]),
		);
		return due
			? [violation('configuration-applied', handling, due.version)]
			: [];
	});
}
