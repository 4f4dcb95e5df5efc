import type {AccountStanding} from './account-usage.js';
import type {PlacementRequest} from './types.js';

/** A received placement request without a final decision, in the queue or about to be decided on. */
export type PendingGeneration = {
	readonly request: PlacementRequest;
	/** Address of the requesting VM. */
	readonly vm: string;
	/** Monotonic time at which the request was received, in milliseconds. */
	readonly receivedMs: number;
};

/** Time that the caller has waited in this attempt until now, in milliseconds. */
export function currentWaitMs(
	{request, receivedMs}: PendingGeneration,
	nowMs: number,
): number {
	return request.waitedMs + (nowMs - receivedMs);
}

/**
 * Expected time per prompt token on a busy engine that prefills one other prompt of the same size first, in
 * milliseconds.
 */
const prefillMsPerToken = 0.2;
/** Fraction of the objective that waiting and prefill may use together. */
const objectiveFraction = 0.9;

/**
 * Time that a generation can still wait with its first token on time, in milliseconds; negative once it
 * is late.
 */
export function slackMs(generation: PendingGeneration, nowMs: number): number {
	const {objectiveMs, promptTokens, previousWaitMs} = generation.request;
	return (
		objectiveFraction * objectiveMs -
		promptTokens * prefillMsPerToken -
		previousWaitMs -
		currentWaitMs(generation, nowMs)
	);
}

/** Inter-token latency of an engine with a few runs, in milliseconds. */
const usualInterTokenMs = 9;
/** Time that a generation holds memory if it starts now, in milliseconds. */
export function expectedHoldMs(
	{promptTokens, expectedTokens}: PlacementRequest,
	interTokenMs = usualInterTokenMs,
): number {
	return promptTokens * prefillMsPerToken + expectedTokens * interTokenMs;
}

/** Callers give up at this multiple of the objective, but not before `leastPatienceMs`. */
const patienceFactor = 4;
/** Shortest time after which callers give up, in milliseconds. */
const leastPatienceMs = 2000;
/**
 * Fraction of the time until the caller gives up for which a long generation waits at first. Once refused, it
 * can still come back when memory may be free.
 */
const firstWaitFraction = 0.5;
/**
 * The same for a short generation, which has no time to come back, and for one whose caller has come back and
 * will not do so again.
 */
const lastWaitFraction = 0.75;
/** Generations with fewer tokens are short; they end before a copy would be of use. */
export const shortTokens = 100;

/** True for a generation with few output tokens, which frees its memory soon. */
export const isShort = ({expectedTokens}: PlacementRequest): boolean =>
	expectedTokens < shortTokens;

/**
 * Longest wait of a generation, in milliseconds, counted as `waitedMs` is. After it the caller would soon
 * give up, or the generation would end after its deadline.
 * @param interTokenMs - inter-token latency of the fastest engine, in milliseconds
 */
export function waitLimitMs(
	request: PlacementRequest,
	interTokenMs: number,
): number {
	const limitMs = request.waitedMs + request.remainingMs;
	const patienceMs = Math.max(
		leastPatienceMs,
		patienceFactor * request.objectiveMs,
	);
	const isLast = isShort(request) || request.previousWaitMs > 0;
	return Math.min(
		patienceMs * (isLast ? lastWaitFraction : firstWaitFraction),
		limitMs * lastWaitFraction,
		limitMs - expectedHoldMs(request, interTokenMs),
	);
}

/** Memory that a generation holds at its end, in tokens. */
export function neededTokens(request: PlacementRequest): number {
	return request.promptTokens + request.doneTokens + request.expectedTokens;
}

/** Tokens of a usual response; added to the expected ones, or short generations would cost next to nothing. */
const usualTokens = 200;
/** Fraction of the objective after which a waiting generation counts as aged. */
const agedFraction = 0.35;
/** Factor on the cost of an aged generation. */
const agedFactor = 0.25;
/** Fraction of the time for which a generation may wait on time after which it is at risk of starvation. */
const atRiskFraction = 0.6;

/** Position of a generation in the queue; compared with `compareRanks`. */
export type QueueRank = {
	/** True if it has waited long but can still be on time, and its account has no more than its share. */
	readonly isAtRisk: boolean;
	/** Urgency; 0 is the most urgent. */
	readonly priority: number;
	readonly isLate: boolean;
	readonly standing: AccountStanding;
	/** Memory times duration, less for an aged generation. */
	readonly cost: number;
};

/**
 * Rank of a generation in the queue now.
 *
 * Generations at risk of starvation go first, then the more urgent ones, and within one urgency those that can
 * be on time, since late ones have lost most of their value. Among those, an account below its equal share of
 * the memory goes before one above it. What remains equal goes by the shortest job first,
 * where the size of a job is memory times duration: while memory is short, this serves the most callers with
 * it. Aging reduces the cost of a generation that has waited for a good part of its objective.
 */
export function queueRank(
	generation: PendingGeneration,
	nowMs: number,
	standing: AccountStanding = 'below',
): QueueRank {
	const {request} = generation;
	const waitMs = currentWaitMs(generation, nowMs);
	const leftMs = slackMs(generation, nowMs);
	const isLate = leftMs <= 0;
	const isAged = !isLate && waitMs > agedFraction * request.objectiveMs;
	const cost =
		(request.promptTokens + request.expectedTokens / 2) *
		(usualTokens + request.expectedTokens);
	return {
		isAtRisk:
			!isLate &&
			standing === 'below' &&
			waitMs > atRiskFraction * (waitMs + leftMs),
		priority: request.priority,
		isLate,
		standing,
		cost: cost * (isAged ? agedFactor : 1),
	};
}

const standingOrder: Readonly<Record<AccountStanding, number>> = {
	below: 0,
	above: 1,
	'far above': 2,
};

/**
 * Compares two ranks.
 * @returns a negative number if `a` goes first, a positive one if `b` does
 */
export function compareRanks(a: QueueRank, b: QueueRank): number {
	return (
		Number(b.isAtRisk) - Number(a.isAtRisk) ||
		a.priority - b.priority ||
		Number(a.isLate) - Number(b.isLate) ||
		standingOrder[a.standing] - standingOrder[b.standing] ||
		a.cost - b.cost
	);
}
