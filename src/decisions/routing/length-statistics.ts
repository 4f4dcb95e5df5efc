import {
	createLengthDistribution,
	type LengthDistribution,
} from './length-distribution.js';
import {
	bucketCount,
	bucketMiddleTokens,
	createLengthHistogram,
	type LengthHistogram,
} from './length-histogram.js';

/** Statistics of output lengths by client account, request class and model. */
export type LengthStatistics = {
	/** Number of stored histogram entries. */
	readonly entryCount: number;
	/** Records the output length of a finished generation. */
	record(
		account: string,
		requestClass: string,
		model: string,
		tokens: number,
	): void;
	distribution(
		account: string,
		requestClass: string,
		model: string,
	): LengthDistribution;
	/** Serialises the statistics for the object store. */
	snapshot(): string;
	/**
	 * Restores a snapshot; malformed rows and unknown formats are ignored.
	 * @throws SyntaxError if the snapshot is not JSON
	 */
	restore(snapshot: string): void;
};

type Entry = {
	/** Covers the last few hundred samples. */
	readonly longTerm: LengthHistogram;
	/** Covers the last few dozen samples, to detect a change of lengths. */
	readonly recent: LengthHistogram;
	/** Samples since the last detected change of lengths. */
	sampleCount: number;
	/** Samples since `distribution` was computed. */
	samplesSinceRefresh: number;
	distribution: LengthDistribution | undefined;
};

const longTermHalfLifeSamples = 600;
const recentHalfLifeSamples = 24;
const minRecentSamples = 16;
// Effective count of the samples from before a change of lengths.
const maxSamplesAfterChange = 4;

// Standard deviations of the recent mean that count as a change of lengths. Noise alone exceeds 4 in about
// one of 15,000 independent windows.
const changeDeviations = 4;

// Samples at which the histogram of a level weighs as much as all less specific levels together.
const equalWeightSamples = 12;
// Samples after which a distribution is computed again.
const refreshSamples = 8;
const maxEntries = 20_000;

// Prior: a Pareto distribution from 8 tokens on, with a mean of a few hundred tokens.
const priorExponent = 0.7;

function createPriorProbabilities(): Float64Array {
	const probabilities = new Float64Array(bucketCount);
	let total = 0;
	for (let bucket = 12; bucket < bucketCount; bucket++) {
		probabilities[bucket] = bucketMiddleTokens(bucket) ** -priorExponent;
		total += probabilities[bucket];
	}

	return probabilities.map((probability) => probability / total);
}

const prior = createPriorProbabilities();

/** Keys of the histograms for a generation, from the least to the most specific. */
function levelsOf(account: string, requestClass: string, model: string) {
	return [
		model,
		`${model}\n${requestClass}`,
		`${model}\n${requestClass}\n${account}`,
	];
}

export function createLengthStatistics(): LengthStatistics {
	const entries = new Map<string, Entry>();

	const entryOf = (key: string): Entry => {
		let entry = entries.get(key);
		if (!entry) {
			if (entries.size >= maxEntries) {
				const [oldest] = entries.keys();
				entries.delete(oldest);
			}

			entry = {
				longTerm: createLengthHistogram(longTermHalfLifeSamples),
				recent: createLengthHistogram(recentHalfLifeSamples),
				sampleCount: 0,
				samplesSinceRefresh: 0,
				distribution: undefined,
			};
			entries.set(key, entry);
		}

		return entry;
	};

	const add = (entry: Entry, tokens: number) => {
		const {longTerm, recent} = entry;
		longTerm.add(tokens);
		recent.add(tokens);
		entry.sampleCount++;
		entry.samplesSinceRefresh++;
		const count = recent.effectiveCount;
		const deviation = Math.sqrt(longTerm.varianceLog / count);
		if (
			entry.sampleCount >= minRecentSamples &&
			Math.abs(recent.meanLog - longTerm.meanLog) > changeDeviations * deviation
		) {
			// The samples so far keep only a small weight.
			longTerm.copyFrom(recent);
			longTerm.capEffectiveCount(maxSamplesAfterChange);
			recent.capEffectiveCount(maxSamplesAfterChange);
			entry.sampleCount = 0;
		}
	};

	const blendLevels = (keys: readonly string[]) => {
		let probabilities = Float64Array.from(prior);
		for (const key of keys) {
			const histogram = entries.get(key)?.longTerm;
			const count = histogram?.effectiveCount ?? 0;
			if (histogram && count > 0) {
				const ownWeight = count / (count + equalWeightSamples);
				probabilities = probabilities.map(
					(probability) => probability * (1 - ownWeight),
				);
				histogram.accumulate(probabilities, ownWeight);
			}
		}

		return createLengthDistribution(probabilities);
	};

	return {
		get entryCount() {
			return entries.size;
		},
		record(account, requestClass, model, tokens) {
			for (const key of levelsOf(account, requestClass, model)) {
				add(entryOf(key), tokens);
			}
		},
		distribution(account, requestClass, model) {
			const levels = levelsOf(account, requestClass, model);
			const entry = entryOf(levels[2]);
			// With few samples of its own, the distribution mostly reflects the class and is not cached.
			if (
				!entry.distribution ||
				entry.longTerm.effectiveCount < refreshSamples ||
				entry.samplesSinceRefresh >= refreshSamples
			) {
				entry.distribution = blendLevels(levels);
				entry.samplesSinceRefresh = 0;
			}

			return entry.distribution;
		},
		snapshot() {
			const rows = [...entries]
				.filter(([, entry]) => entry.sampleCount > 0)
				.map(([key, entry]) => [
					key,
					entry.sampleCount,
					entry.longTerm.weights().map((weight) => Number(weight.toFixed(2))),
				]);
			return JSON.stringify({format: 1, rows});
		},
		restore(snapshot) {
			const {format, rows} = (JSON.parse(snapshot) ?? {}) as {
				format?: unknown;
				rows?: unknown;
			};
			if (format !== 1 || !Array.isArray(rows)) {
				return;
			}

			for (const row of rows as unknown[]) {
				if (!Array.isArray(row)) {
					continue;
				}

				const [key, sampleCount, weights] = row as unknown[];
				if (
					typeof key === 'string' &&
					typeof sampleCount === 'number' &&
					Array.isArray(weights) &&
					weights.every((weight) => typeof weight === 'number' && weight >= 0)
				) {
					const entry = entryOf(key);
					entry.sampleCount = sampleCount;
					entry.longTerm.restore(weights as number[]);
					entry.recent.copyFrom(entry.longTerm);
					entry.distribution = undefined;
				}
			}
		},
	};
}
