import {
	type Observations,
	type Execution,
	requestsById,
	isUndisrupted,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time for an engine to learn that its generation continues at another one, in milliseconds. */
const handoverMs = 400;

/** True if the second execution started after the first, which ran on beyond the handover time. */
function overlap(first: Execution, second: Execution): boolean {
	return (
		second.startMs > first.startMs &&
		(first.endMs ?? Infinity) > second.startMs + handoverMs
	);
}

/** A request that is no `lookup` starts once, and no two targets execute it at a time. */
export function checkAtMostOnce(observations: Observations): Violation[] {
	const requests = requestsById(observations);
	const executionsByRequest = new Map<string, Execution[]>();
	for (const execution of observations.works) {
		if (requests.get(execution.requestId)?.kind !== 'lookup') {
			const executions = executionsByRequest.get(execution.requestId) ?? [];
			executionsByRequest.set(execution.requestId, [...executions, execution]);
		}
	}

	return [...executionsByRequest].flatMap(([requestId, executions]) => {
		const starts = executions.filter(({isContinuation}) => !isContinuation);
		const vm = requests.get(requestId)?.vm ?? 0;
		// An engine that the VM cannot reach does not learn that its generation continues elsewhere.
		const isOverlapping = executions.some((first) =>
			executions.some(
				(second) =>
					overlap(first, second) &&
					isUndisrupted(observations, vm, [second.startMs, second.startMs]),
			),
		);
		return starts.length > 1 || isOverlapping
			? [
					{
						promise: 'at-most-once',
						detail: `request ${requestId} ran at ${executions.map(({targetId}) => targetId).join(', ')}`,
					},
				]
			: [];
	});
}
