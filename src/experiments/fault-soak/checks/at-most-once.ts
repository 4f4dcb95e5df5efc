import {
	type Observations,
	type Execution,
	requestsById,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time in which an engine hears that its run goes on elsewhere. */
const handoverMs = 400;

function overlap(first: Execution, second: Execution): boolean {
	return (
		second.startMs > first.startMs &&
		(first.endMs ?? Infinity) > second.startMs + handoverMs
	);
}

/** A request that may not be repeated is started once, and no second engine works on its run. */
export function checkAtMostOnce(observations: Observations): Violation[] {
	const attempts = requestsById(observations);
	const byRequest = new Map<string, Execution[]>();
	for (const work of observations.works) {
		if (attempts.get(work.requestId)?.kind !== 'lookup') {
			const works = byRequest.get(work.requestId) ?? [];
			byRequest.set(work.requestId, [...works, work]);
		}
	}

	return [...byRequest].flatMap(([requestId, works]) => {
		const starts = works.filter(({isContinuation}) => !isContinuation);
		const vm = attempts.get(requestId)?.vm ?? 0;
		// An engine that a VM cannot reach does not hear that its run goes on elsewhere.
		const isTwice = works.some((first) =>
			works.some(
				(second) =>
					overlap(first, second) &&
					isUndisrupted(observations, vm, [second.startMs, second.startMs]),
			),
		);
		return starts.length > 1 || isTwice
			? [
					{
						promise: 'at-most-once',
						detail: `request ${requestId} ran at ${works.map(({targetId}) => targetId).join(', ')}`,
					},
				]
			: [];
	});
}
