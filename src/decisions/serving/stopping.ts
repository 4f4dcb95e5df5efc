/** Time that an engine takes for one token beside others, in milliseconds. */
const tokenMs = 10;
/** Time until the first token of a long prompt, in milliseconds. */
const firstTokenMs = 500;

/**
 * Decides whether a stopping VM starts a generation. Answers the pattern "VMs are stopped one after
 * the other under load": what would outlast the grace time is cut off, while another VM could serve
 * it whole.
 * @param expectedOutputTokens - expected length of the answer
 * @param leftMs - time until this VM ends, in milliseconds
 */
export function mayStartWhileStopping(
	expectedOutputTokens: number,
	leftMs: number,
): boolean {
	return firstTokenMs + expectedOutputTokens * tokenMs <= leftMs;
}
