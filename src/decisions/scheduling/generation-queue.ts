import type {PlacementRequest} from './types.js';

/** A generation that waits for memory. */
export type PendingGeneration = {
	readonly request: PlacementRequest;
	/** VM that asks. */
	readonly vm: string;
	/** Monotonic time at which it came, in milliseconds. */
	readonly receivedMs: number;
};

/** Time that the caller of a waiting generation has waited in this attempt, in milliseconds. */
export function currentWaitMs(
	{request, receivedMs}: PendingGeneration,
	nowMs: number,
): number {
	return request.waitedMs + (nowMs - receivedMs);
}

/** Time in which an engine reads a prompt and one more beside others, in milliseconds per token. */
const promptMsPerToken = 0.2;
/** Part of the objective that waiting and the first token may use together. */
const objectivePart = 0.9;

/** Time that is left for waiting if the first token is to be on time, in milliseconds. */
export function slackMs(waiting: PendingGeneration, nowMs: number): number {
	const {objectiveMs, promptTokens, previousWaitMs} = waiting.request;
	return (
		objectivePart * objectiveMs -
		promptTokens * promptMsPerToken -
		previousWaitMs -
		currentWaitMs(waiting, nowMs)
	);
}

/** Multiple of the objective that a generation waits at most; callers give up at about four. */
const waitFactor = 2;

/**
 * Time after which a generation that waits is of no use to its caller, in milliseconds of its wait.
 * @param tokenMs - time between two tokens at the fastest engine
 */
export function waitLimitMs(demand: PlacementRequest, tokenMs: number): number {
	const runMs =
		demand.promptTokens * promptMsPerToken + demand.expectedTokens * tokenMs;
	return Math.min(
		waitFactor * demand.objectiveMs,
		demand.waitedMs + demand.remainingMs - runMs,
	);
}

/** Memory that a generation needs at its end, in tokens. */
export function neededTokens(demand: PlacementRequest): number {
	return demand.promptTokens + demand.doneTokens + demand.expectedTokens;
}

/** Tokens of a usual answer; keeps short ones from being valued without bound. */
const usualTokens = 200;
/** Part of the objective after which a waiting generation goes ahead of younger ones. */
const agedPart = 0.35;
/** An aged generation counts as this much cheaper. */
const agedFactor = 0.25;
/** Beyond the cost of any generation that can be on time. */
const lateRank = 1e12;

/**
 * Rank in the queue; the smallest goes first. Answers the pattern "more generations than the engines'
 * memory holds": memory goes where it serves most callers for the time that it is held, so that short
 * generations go ahead of long ones. One that has waited for a good part of its objective goes ahead
 * of all that have not, so that none starves; late ones come last, as they have lost most of their use.
 */
export function queueRank(waiting: PendingGeneration, nowMs: number): number {
	const {request} = waiting;
	const cost =
		(request.promptTokens + request.expectedTokens / 2) *
		(usualTokens + request.expectedTokens);
	if (slackMs(waiting, nowMs) <= 0) {
		return lateRank + cost;
	}

	const isAged = currentWaitMs(waiting, nowMs) > agedPart * request.objectiveMs;
	return cost * (isAged ? agedFactor : 1);
}
