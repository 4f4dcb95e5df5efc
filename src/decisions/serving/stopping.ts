/** Time that a loaded engine takes for one token, in milliseconds. */
const tokenMs = 10;
/** Time to the first token for a long prompt, in milliseconds. */
const longPromptFirstTokenMs = 500;

/** Time after the stop signal in which load balancers still open new connections, in milliseconds. */
const stillRoutedMs = 2500;
/** Three of four generations stay below this multiple of their expected length. */
const likelyLengthFactor = 2;
/** Generations rarely exceed this multiple of their expected length. */
const worstLengthFactor = 4;

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

/**
 * Decides whether a stopping VM starts a generation. When VMs are stopped one after the other under
 * load, a generation that outlasts the grace period is cut off, although another VM could serve it
 * completely. Until load balancers notice the stop, a generation is started if it is likely to end in
 * time, since a retry of its caller might reach another stopping VM. After that it is started only if
 * it ends in time even when it gets unusually long.
 */
export function mayStartGenerationWhileStopping(
	{expectedTokens, maxTokens}: NewGeneration,
	{sinceSignalMs, leftMs}: StopTimes,
): boolean {
	const factor =
		sinceSignalMs < stillRoutedMs ? likelyLengthFactor : worstLengthFactor;
	const longestTokens = Math.min(factor * expectedTokens, maxTokens);
	return longPromptFirstTokenMs + longestTokens * tokenMs <= leftMs;
}

/** Time in which a call normally ends, in milliseconds. */
const usualCallMs = 1500;

/**
 * Decides whether a stopping VM starts a call to a plain service. Load balancers and callers with open
 * connections reach a VM until it exits, and a call that is in progress then is cut off.
 * @param timeoutMs - time limit of the call, in milliseconds
 * @param leftMs - time until this VM exits, in milliseconds
 */
export function mayStartCallWhileStopping(
	timeoutMs: number,
	leftMs: number,
): boolean {
	return leftMs >= Math.min(timeoutMs, usualCallMs);
}
