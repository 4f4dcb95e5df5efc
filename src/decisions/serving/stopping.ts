/** Time that an engine takes for one token beside others, in milliseconds. */
const tokenMs = 10;
/** Time until the first token of a long prompt, in milliseconds. */
const firstTokenMs = 500;

/** Time after the signal in which balancers still send new connections, in milliseconds. */
const stillRoutedMs = 2500;
/** A generation rarely gets longer than this multiple of its expected length. */
const longestFactor = 4;

/**
 * Decides whether a stopping VM starts a generation. Answers the pattern "VMs are stopped one after
 * the other under load": what would outlast the grace time is cut off, while another VM could serve
 * it whole. Once balancers know of the stop, only what ends in time even if it gets long is started.
 * @param expectedOutputTokens - expected length of the answer
 * @param sinceMs - time since the signal, in milliseconds
 * @param leftMs - time until this VM ends, in milliseconds
 */
export function mayStartWhileStopping(
	expectedOutputTokens: number,
	sinceMs: number,
	leftMs: number,
): boolean {
	const factor = sinceMs < stillRoutedMs ? 1 : longestFactor;
	return firstTokenMs + factor * expectedOutputTokens * tokenMs <= leftMs;
}

/** Time in which a call ends that no target holds up, in milliseconds. */
const usualCallMs = 1500;

/**
 * Decides whether a stopping VM starts a call to a plain service. Balancers and callers with open
 * connections reach a VM until it ends; a call that is begun then is cut off.
 * @param timeoutMs - longest time that the call may take, in milliseconds
 * @param leftMs - time until this VM ends, in milliseconds
 */
export function mayCallWhileStopping(
	timeoutMs: number,
	leftMs: number,
): boolean {
	return leftMs >= Math.min(timeoutMs, usualCallMs);
}
