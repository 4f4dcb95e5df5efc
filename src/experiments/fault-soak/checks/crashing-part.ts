import {
	isUndisrupted,
	type Observations,
	type ObservedRequest,
	requestsById,
} from '../observations.js';
import {leavesVmInTouch} from './excuses.js';
import type {Violation} from './invariant-check.js';

/** Ends of engines under one part after which no more requests with it may be sent. */
const crashCount = 5;
/** Requests that may reach engines nevertheless. */
const maxLaterArrivals = 3;

/** Requests whose prompts share a part are not sent on after five engines have ended under it. */
export function checkCrashingParts(observations: Observations): Violation[] {
	const {arrivals, partCrashes, bounds} = observations;
	const requests = requestsById(observations);
	const parts = new Set(partCrashes.map(({part}) => part));
	return [...parts].flatMap((part): Violation[] => {
		const fifth = partCrashes.filter((crash) => crash.part === part)[
			crashCount - 1
		];
		const knownMs = (fifth?.atMs ?? Infinity) + bounds.contactMs;
		const isInTouch = ({vm}: ObservedRequest, atMs: number) =>
			isUndisrupted(
				observations,
				vm,
				[knownMs - bounds.contactMs, atMs],
				leavesVmInTouch,
			);
		const later = arrivals.filter(({requestId, atMs}) => {
			const request = requests.get(requestId);
			return (
				request?.crashingPart === part &&
				atMs > knownMs &&
				isInTouch(request, atMs)
			);
		});
		return later.length > maxLaterArrivals
			? [
					{
						promise: 'crashing-part',
						detail: `${later.length} requests with the part ${part} reached engines ${bounds.contactMs} ms after five had ended under it`,
					},
				]
			: [];
	});
}
