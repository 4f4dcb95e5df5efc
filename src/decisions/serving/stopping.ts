/** Time that an engine takes for one token beside others, in milliseconds. */
const tokenMs = 10;
/** Time until the first token of a long prompt, in milliseconds. */
const firstTokenMs = 500;

/** Time after the signal in which balancers still send new connections, in milliseconds. */
const stillRoutedMs = 2500;
/** Three in four generations stay below this multiple of their expected length. */
const usualLongestFactor = 2;
/** A generation rarely gets longer than this multiple of its expected length. */
const longestFactor = 4;

/** Times of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Since the signal. */
	readonly sinceSignalMs: number;
	/** Until this VM ends. */
	readonly leftMs: number;
};

/** A generation that comes to a stopping VM. */
export type NewGeneration = {
	/** Expected length of the answer. */
	readonly expectedTokens: number;
	/** Bound of its length. */
	readonly maxTokens: number;
};

/**
 * Decides whether a stopping VM starts a generation. Answers the pattern "VMs are stopped one after
 * the other under load": what outlasts the grace time is cut off, while another VM could serve it
 * whole. Until balancers know of the stop, a generation is started if it is more likely to end in time
 * than its caller to find a VM that doesn't stop as well; then only if it ends even if it gets long.
 */
export function mayStartGenerationWhileStopping(
	{expectedTokens, maxTokens}: NewGeneration,
	{sinceSignalMs, leftMs}: StopTimes,
): boolean {
	const factor =
		sinceSignalMs < stillRoutedMs ? usualLongestFactor : longestFactor;
	const longestTokens = Math.min(factor * expectedTokens, maxTokens);
	return firstTokenMs + longestTokens * tokenMs <= leftMs;
}

/** Time in which a call ends that no target holds up, in milliseconds. */
const usualCallMs = 1500;

/**
 * Decides whether a stopping VM starts a call to a plain service. Balancers and callers with open
 * connections reach a VM until it ends; a call that is begun then is cut off.
 * @param timeoutMs - longest time that the call may take, in milliseconds
 * @param leftMs - time until this VM ends, in milliseconds
 */
export function mayStartCallWhileStopping(
	timeoutMs: number,
	leftMs: number,
): boolean {
	return leftMs >= Math.min(timeoutMs, usualCallMs);
}
