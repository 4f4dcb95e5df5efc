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

/** Output lengths seen so far, by client account, class and model. */
export type LengthStatistics = {
	/** Number of histograms that are kept. */
	readonly entryCount: number;
	/** Records the length of a finished answer. */
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
	/** State as text, for the object store. */
	snapshot(): string;
	/** Takes over a snapshot; what is malformed is left out. */
	restore(snapshot: string): void;
};

type Entry = {
	/** Follows the last few hundred samples. */
	readonly steady: LengthHistogram;
	/** Follows the last few dozen samples, to notice a change of lengths. */
	readonly recent: LengthHistogram;
	samples: number;
	sinceDistribution: number;
	distribution: LengthDistribution | undefined;
};

const steadyHalfLife = 600;
const recentHalfLife = 24;
const minRecentSamples = 16;
const keptSamples = 4;

// Deviations of the recent mean that count as a change of lengths. Noise alone passes 4 about once in
// 15,000 independent windows.
const changeDeviations = 4;

// Samples at which a level's own histogram weighs as much as the level below it.
const backOffSamples = 12;
const refreshSamples = 8;
const maxEntries = 20_000;

// Before any sample, lengths are taken as a Pareto distribution with a mean of a few hundred tokens.
const priorExponent = 0.7;

function priorShares(): Float64Array {
	const shares = new Float64Array(bucketCount);
	let total = 0;
	for (let bucket = 12; bucket < bucketCount; bucket++) {
		shares[bucket] = bucketMiddleTokens(bucket) ** -priorExponent;
		total += shares[bucket];
	}

	return shares.map((share) => share / total);
}

const prior = priorShares();

function levelsOf(account: string, requestClass: string, model: string) {
	return [
		model,
		`${model}\n${requestClass}`,
		`${model}\n${requestClass}\n${account}`,
	];
}

/** Creates statistics without samples. */
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
				steady: createLengthHistogram(steadyHalfLife),
				recent: createLengthHistogram(recentHalfLife),
				samples: 0,
				sinceDistribution: 0,
				distribution: undefined,
			};
			entries.set(key, entry);
		}

		return entry;
	};

	const add = (entry: Entry, tokens: number) => {
		const {steady, recent} = entry;
		steady.add(tokens);
		recent.add(tokens);
		entry.samples++;
		entry.sinceDistribution++;
		const count = recent.effectiveCount;
		const deviation = Math.sqrt(steady.varianceLog / count);
		if (
			entry.samples >= minRecentSamples &&
			Math.abs(recent.meanLog - steady.meanLog) > changeDeviations * deviation
		) {
			// What was seen before the change stays as a weak guess only.
			steady.copyFrom(recent);
			steady.capEffectiveCount(keptSamples);
			recent.capEffectiveCount(keptSamples);
			entry.samples = 0;
		}
	};

	const mix = (keys: readonly string[]) => {
		let shares = Float64Array.from(prior);
		for (const key of keys) {
			const histogram = entries.get(key)?.steady;
			const count = histogram?.effectiveCount ?? 0;
			if (histogram && count > 0) {
				const own = count / (count + backOffSamples);
				shares = shares.map((share) => share * (1 - own));
				histogram.accumulate(shares, own);
			}
		}

		return createLengthDistribution(shares);
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
			// A level without samples of its own follows the class at each call.
			if (
				!entry.distribution ||
				entry.steady.effectiveCount < refreshSamples ||
				entry.sinceDistribution >= refreshSamples
			) {
				entry.distribution = mix(levels);
				entry.sinceDistribution = 0;
			}

			return entry.distribution;
		},
		snapshot() {
			const rows = [...entries]
				.filter(([, entry]) => entry.samples > 0)
				.map(([key, entry]) => [
					key,
					entry.samples,
					entry.steady.weights().map((weight) => Number(weight.toFixed(2))),
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

				const [key, samples, weights] = row as unknown[];
				if (
					typeof key === 'string' &&
					typeof samples === 'number' &&
					Array.isArray(weights) &&
					weights.every((weight) => typeof weight === 'number' && weight >= 0)
				) {
					const entry = entryOf(key);
					entry.samples = samples;
					entry.steady.restore(weights as number[]);
					entry.recent.copyFrom(entry.steady);
					entry.distribution = undefined;
				}
			}
		},
	};
}
