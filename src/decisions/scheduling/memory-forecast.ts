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

/** Growth of a run, in tokens, until a short generation that starts now has ended. */
const shortTermTokens = 100;

/** Forecast peaks of the memory of an engine, in tokens. */
export type Peaks = {
	readonly peak: number;
	/** Peak until a short generation that starts now has ended. */
	readonly shortTermPeak: number;
};

/** Cache of forecasts; the registry returns the same object until the usage changes or expires. */
const peaksByUsage = new WeakMap<object, Peaks>();

/** Peaks of an engine, computed once for each usage. */
export function peaksOf(usage: {readonly held: readonly HeldMemory[]}): Peaks {
	let peaks = peaksByUsage.get(usage);
	if (!peaks) {
		peaks = {
			peak: peakTokens(usage.held),
			shortTermPeak: peakTokens(usage.held, shortTermTokens),
		};
		peaksByUsage.set(usage, peaks);
	}

	return peaks;
}

/** Mean and variance of an amount of memory, in tokens. */
export type MemoryDistribution = {
	readonly mean: number;
	readonly variance: number;
};

/** Runs end between these fractions of their forecast length: forecasts are off by a fifth, lengths vary twofold. */
const endFractions = {first: 0.6, last: 1.4} as const;

/**
 * Distribution of the memory that is freed by runs that end within a horizon.
 * @param withinTokens - horizon, as growth of each run in tokens
 */
export function freedTokens(
	held: readonly HeldMemory[],
	withinTokens: number,
): MemoryDistribution {
	let mean = 0;
	let variance = 0;
	for (const {tokens, remainingTokens} of held) {
		const {first, last} = endFractions;
		const fraction = withinTokens / Math.max(1, remainingTokens);
		const chance = Math.min(
			1,
			Math.max(0, (fraction - first) / (last - first)),
		);
		const freed = tokens + remainingTokens;
		mean += chance * freed;
		variance += chance * (1 - chance) * freed * freed;
	}

	return {mean, variance};
}

/** Probability that an amount exceeds what is needed, by the logistic approximation of the normal distribution. */
export function exceedanceChance(
	{mean, variance}: MemoryDistribution,
	needed: number,
): number {
	const deviations = (mean - needed) / Math.sqrt(Math.max(1, variance));
	return 1 / (1 + Math.exp(-1.7 * deviations));
}
