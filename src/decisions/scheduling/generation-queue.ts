import type {PlaceDemand} from './types.js';

/** A generation that waits for memory. */
export type Waiting = {
	readonly demand: PlaceDemand;
	/** VM that asks. */
	readonly vm: string;
	/** Monotonic time at which it came, in milliseconds. */
	readonly sinceMs: number;
};

/** Time that the caller of a waiting generation has waited in all, in milliseconds. */
export function waitedMs({demand, sinceMs}: Waiting, nowMs: number): number {
	return demand.waitedMs + (nowMs - sinceMs);
}

/** Time in which an engine reads a prompt beside others at least, in milliseconds per token. */
const promptMsPerToken = 0.1;
/** Part of the objective that waiting and the first token may use together. */
const objectivePart = 0.9;

/** Time that is left for waiting if the first token is to be on time, in milliseconds. */
export function slackMs(waiting: Waiting, nowMs: number): number {
	const {objectiveMs, promptTokens} = waiting.demand;
	return (
		objectivePart * objectiveMs -
		promptTokens * promptMsPerToken -
		waitedMs(waiting, nowMs)
	);
}

/** Tokens of a usual answer; keeps short ones from being valued without bound. */
const usualTokens = 200;
/** Part of the objective after which a waiting generation goes ahead of younger ones. */
const agedPart = 0.5;

/**
 * Rank in the queue; the smallest goes first. Answers the pattern "more generations than the engines'
 * memory holds": memory goes where it serves most callers for the time that it is held, so that short
 * generations go ahead of long ones. One that has waited for a good part of its objective goes ahead
 * of all that have not, so that none starves; late ones come last, as they have lost their use.
 */
export function queueRank(waiting: Waiting, nowMs: number): number {
	const {demand} = waiting;
	const cost =
		(demand.promptTokens + demand.expectedTokens / 2) *
		(usualTokens + demand.expectedTokens);
	if (slackMs(waiting, nowMs) <= 0) {
		return lateRank + cost;
	}

	const isAged =
		waitedMs(waiting, nowMs) > agedPart * demand.objectiveMs ? agedFactor : 1;
	return cost * isAged;
}

const lateRank = 1e12;
/** An aged generation counts as this much cheaper. */
const agedFactor = 0.25;
