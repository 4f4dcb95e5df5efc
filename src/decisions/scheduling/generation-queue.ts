import type {PlacementRequest} from './types.js';

/** A placement request that waits in the queue, or is about to be decided on. */
export type QueuedGeneration = {
	readonly request: PlacementRequest;
	/** Address of the requesting VM. */
	readonly vm: string;
	/** Monotonic time at which the request was received, in milliseconds. */
	readonly receivedMs: number;
};

/** Time that the caller has waited in this attempt, in milliseconds. */
export function waitedMs(
	{request, receivedMs}: QueuedGeneration,
	nowMs: number,
): number {
	return request.waitedMs + (nowMs - receivedMs);
}

/** Time to prefill a prompt and one more beside other requests, in milliseconds per token. */
const promptMsPerToken = 0.2;
/** Fraction of the objective that waiting and prefill may use together. */
const objectiveFraction = 0.9;

/**
 * Time that a generation can still wait with its first token on time, in milliseconds; negative once it
 * is late.
 */
export function slackMs(generation: QueuedGeneration, nowMs: number): number {
	const {objectiveMs, promptTokens, previousWaitMs} = generation.request;
	return (
		objectiveFraction * objectiveMs -
		promptTokens * promptMsPerToken -
		previousWaitMs -
		waitedMs(generation, nowMs)
	);
}

/** Multiple of the objective up to which a generation waits; callers give up at about four. */
const waitFactor = 2;

/**
 * Longest wait of a generation, in milliseconds, counted as `waitedMs` is. After it the generation would
 * start so late that its caller has given up, or would end after its deadline.
 * @param tokenMs - time between two tokens at the fastest engine, in milliseconds
 */
export function waitLimitMs(
	request: PlacementRequest,
	tokenMs: number,
): number {
	const runMs =
		request.promptTokens * promptMsPerToken + request.expectedTokens * tokenMs;
	return Math.min(
		waitFactor * request.objectiveMs,
		request.waitedMs + request.remainingMs - runMs,
	);
}

/** Memory that a generation holds at its end, in tokens. */
export function neededTokens(request: PlacementRequest): number {
	return request.promptTokens + request.doneTokens + request.expectedTokens;
}

/** Tokens of a usual response; added to the expected ones so that short generations do not cost nothing. */
const usualTokens = 200;
/** Fraction of the objective after which a waiting generation counts as aged. */
const agedFraction = 0.35;
/** Factor on the cost of an aged generation. */
const agedFactor = 0.25;
/** Larger than the cost of any generation. */
const lateRank = 1e12;

/**
 * Rank in the queue; the smallest goes first.
 *
 * With more generations than the engines' memory holds, it goes where it serves the most callers for the
 * time that it is held: the rank is the product of memory and duration, so that short generations precede
 * long ones. The cost of a generation that has waited for a good part of its objective is reduced, so that
 * short ones do not starve it. Late generations come last, since they have lost most of their use.
 */
export function queueRank(generation: QueuedGeneration, nowMs: number): number {
	const {request} = generation;
	const cost =
		(request.promptTokens + request.expectedTokens / 2) *
		(usualTokens + request.expectedTokens);
	if (slackMs(generation, nowMs) <= 0) {
		return lateRank + cost;
	}

	const isAged =
		waitedMs(generation, nowMs) > agedFraction * request.objectiveMs;
	return cost * (isAged ? agedFactor : 1);
}
