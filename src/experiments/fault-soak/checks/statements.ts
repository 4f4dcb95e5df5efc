import {
	isUndisrupted,
	type Observations,
	type ObservedStatement,
	requestsById,
} from '../observations.js';
import type {Violation} from './invariant-check.js';

/** Time after a refusal for what is under way, in milliseconds. */
const underWayMs = 500;
/** Requests of one VM that may reach a target while it wants none. */
const maxDuringBackOff = 2;

/** Requests of one VM that reached the target of a statement in a span after it. */
function arrivalsAfter(
	observations: Observations,
	{requestId, targetId, atMs}: ObservedStatement,
	[fromMs, untilMs]: readonly [number, number],
): string[] {
	const requests = requestsById(observations);
	const vm = requests.get(requestId)?.vm;
	return observations.arrivals
		.filter((arrival) => {
			const request = requests.get(arrival.requestId);
			return (
				arrival.targetId === targetId &&
				arrival.atMs > atMs + fromMs &&
				arrival.atMs < atMs + untilMs &&
				request?.vm === vm &&
				vm !== undefined &&
				isUndisrupted(observations, vm, [atMs, arrival.atMs])
			);
		})
		.map((arrival) => arrival.requestId);
}

/** The first statement of each kind that each target made to each VM. */
function firstStatements(
	observations: Observations,
	kind: ObservedStatement['statement']['kind'],
): ObservedStatement[] {
	const requests = requestsById(observations);
	const first = new Map<string, ObservedStatement>();
	for (const stated of observations.statements) {
		const key = `${stated.targetId} ${requests.get(stated.requestId)?.vm}`;
		if (stated.statement.kind === kind && !first.has(key)) {
			first.set(key, stated);
		}
	}

	return [...first.values()];
}

/** VMs send no request to a target that has said to them more than `drainMs` ago that it leaves. */
export function checkStatedLeaving(observations: Observations): Violation[] {
	const {drainMs} = observations.bounds;
	return firstStatements(observations, 'leaving').flatMap((stated) =>
		arrivalsAfter(observations, stated, [drainMs, Infinity]).map(
			(requestId): Violation => ({
				promise: 'stated-leaving',
				detail: `${requestId} reached ${stated.targetId} later than ${drainMs} ms after that had said that it leaves`,
			}),
		),
	);
}

/** VMs leave a target alone that has turned a request of theirs away, for the time that it has named. */
export function checkBackOffs(observations: Observations): Violation[] {
	return observations.statements.flatMap((stated): Violation[] => {
		const {statement, targetId} = stated;
		if (statement.kind !== 'back-off') {
			return [];
		}

		const span = [underWayMs, statement.forMs] as const;
		const {length} = arrivalsAfter(observations, stated, span);
		return length > maxDuringBackOff
			? [
					{
						promise: 'back-off',
						detail: `${length} requests of one VM reached ${targetId} while it wanted none for ${statement.forMs} ms`,
					},
				]
			: [];
	});
}
