/** Memory that a run or a copy holds, and how it goes on. */
export type HeldMemory = {
	readonly tokens: number;
	/** Tokens by which it grows until it ends and frees everything. */
	readonly remainingTokens: number;
};

/**
 * Largest memory that the runs of an engine are expected to hold at one time, in tokens. All runs of a
 * batch grow at the same pace, so that the one with the fewest tokens left ends first and frees its
 * memory for the others.
 * @param withinTokens - growth up to which the memory counts
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

/** Memory that runs free which end within some further tokens, in tokens. */
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
