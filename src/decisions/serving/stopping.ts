/** Time that a loaded engine takes for one token, in milliseconds. */
const tokenMs = 10;
/** Time to the first token for a long prompt, in milliseconds. */
const longPromptFirstTokenMs = 500;

/** Time after the stop signal in which load balancers still open new connections, in milliseconds. */
const stillRoutedMs = 2500;
/** Three of four generations stay below this multiple of their expected length. */
const likelyLengthFactor = 2;

/** Timing of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Time since the stop signal. */
	readonly sinceSignalMs: number;
	/** Time until this VM exits. */
	readonly leftMs: number;
};

/** A generation that a stopping VM receives. */
export type NewGeneration = {
	/** Expected length of the output. */
	readonly expectedTokens: number;
	/** Maximum length of the output; Infinity if the request sets none. */
	readonly maxTokens: number;
};

/** Time in which a call normally ends, in milliseconds. */
const usualCallMs = 1500;

/** A request that a stopping VM may start. */
export type NewRequest = {
	/** Time until the request ends in any case, in milliseconds. */
	readonly timeLeftMs: number;
	/** Undefined for a call to a plain service. */
	readonly generation: NewGeneration | undefined;
};

function isLikelyToEnd(
	{timeLeftMs, generation}: NewRequest,
	leftMs: number,
): boolean {
	if (!generation) {
		return Math.min(timeLeftMs, usualCallMs) <= leftMs;
	}

	const {expectedTokens, maxTokens} = generation;
	const likelyTokens = Math.min(likelyLengthFactor * expectedTokens, maxTokens);
	return longPromptFirstTokenMs + likelyTokens * tokenMs <= leftMs;
}

/**
 * Decides whether a stopping VM starts a request. A request that outlasts the grace period is cut off, although
 * another VM could serve it completely. Until load balancers notice the stop, a request is started if it is
 * likely to end in time, since a retry of its caller might reach another stopping VM. After that only callers
 * with open connections send requests, and one is started only if it is certain to end in time, by its own
 * time limit: neither the length of a generation nor the load of its target has another bound.
 */
export function mayStartWhileStopping(
	request: NewRequest,
	{sinceSignalMs, leftMs}: StopTimes,
): boolean {
	return sinceSignalMs < stillRoutedMs
		? isLikelyToEnd(request, leftMs)
		: request.timeLeftMs <= leftMs;
}
