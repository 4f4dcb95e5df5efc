/** KV cache memory that a run, or the copy of one, holds on an engine. */
export type HeldMemory = {
	readonly tokens: number;
	/** Tokens by which it grows until it is freed as a whole. */
	readonly remainingTokens: number;
};

/**
 * Forecasts the largest memory that the runs of an engine hold at one time, in tokens. All runs of a batch
 * grow at the same pace, so the one with the fewest tokens left ends first and frees its memory for the
 * others.
 * @param withinTokens - horizon of the forecast, as growth of each run in tokens
 */
export function peakTokens(
	held: readonly HeldMemory[],
	withinTokens = Infinity,
): number {
	const byEnd = [...held].sort((a, b) => a.remainingTokens - b.remainingTokens);
	let total = byEnd.reduce((sum, {tokens}) => sum + tokens, 0);
	let peak = total;
	let grown = 0;
	for (const [index, {tokens, remainingTokens}] of byEnd.entries()) {
		const growth = Math.min(remainingTokens, withinTokens) - grown;
		total += growth * (byEnd.length - index);
		grown += growth;
		peak = Math.max(peak, total);
		if (remainingTokens > withinTokens) {
			break;
		}

		total -= tokens + remainingTokens;
	}

	return peak;
}

/**
 * Memory that is freed by runs that end within a horizon, in tokens.
 * @param withinTokens - horizon, as growth of each run in tokens
 */
export function freedTokens(
	held: readonly HeldMemory[],
	withinTokens: number,
): number {
	let freed = 0;
	for (const {tokens, remainingTokens} of held) {
		freed += remainingTokens <= withinTokens ? tokens + remainingTokens : 0;
	}

	return freed;
}
