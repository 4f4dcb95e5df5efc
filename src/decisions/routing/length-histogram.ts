/** Buckets for each doubling of the length. */
export const bucketsPerOctave = 4;

const octaves = 17;

/** Buckets of a histogram; the last one holds everything longer. */
export const bucketCount = octaves * bucketsPerOctave + 1;

const largestUnit = 1e9;

/** Histogram of output lengths in which old samples weigh less than new ones. */
export type LengthHistogram = {
	/** Weight of all samples, counted in newest samples. */
	readonly effectiveCount: number;
	/** Mean of the natural logarithm of the length. */
	readonly meanLog: number;
	/** Variance of the natural logarithm of the length. */
	readonly varianceLog: number;
	add(tokens: number): void;
	/** Adds the shares of the buckets, multiplied by a factor, to an array. */
	accumulate(shares: Float64Array, factor: number): void;
	/** Weakens the contents, so that new samples soon outweigh them. */
	capEffectiveCount(effectiveCount: number): void;
	/** Replaces the contents by those of another histogram. */
	copyFrom(other: LengthHistogram): void;
	/** Weights of the buckets, counted in newest samples. */
	weights(): readonly number[];
	/** Replaces the contents by stored weights. */
	restore(weights: readonly number[]): void;
};

/** Bucket of a length in tokens. */
export function bucketOf(tokens: number): number {
	return Math.min(
		bucketCount - 1,
		Math.max(0, Math.floor(Math.log2(tokens) * bucketsPerOctave)),
	);
}

const middles = Float64Array.from(
	{length: bucketCount},
	(_, bucket) => 2 ** ((bucket + 0.5) / bucketsPerOctave),
);

/** Typical length in a bucket, in tokens. */
export function bucketMiddleTokens(bucket: number): number {
	return middles[bucket];
}

/**
 * Creates an empty histogram.
 * @param halfLifeSamples - samples after which the weight of a sample is halved
 */
export function createLengthHistogram(
	halfLifeSamples: number,
): LengthHistogram {
	const weights = new Float64Array(bucketCount);
	const growth = 2 ** (1 / halfLifeSamples);
	// Growing the weight of new samples saves scaling all buckets at each sample.
	let unit = 1;
	let total = 0;
	let sumLog = 0;
	let sumSquareLog = 0;

	const put = (bucket: number, log: number, weight: number) => {
		weights[bucket] += weight;
		total += weight;
		sumLog += weight * log;
		sumSquareLog += weight * log * log;
	};

	const scaleWeights = (factor: number) => {
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			weights[bucket] *= factor;
		}

		total *= factor;
		sumLog *= factor;
		sumSquareLog *= factor;
	};

	const restore = (stored: readonly number[]) => {
		weights.fill(0);
		unit = 1;
		total = 0;
		sumLog = 0;
		sumSquareLog = 0;
		for (const [bucket, weight] of stored.slice(0, bucketCount).entries()) {
			put(bucket, Math.log(bucketMiddleTokens(bucket)), weight);
		}
	};

	return {
		get effectiveCount() {
			return total / unit;
		},
		get meanLog() {
			return total === 0 ? 0 : sumLog / total;
		},
		get varianceLog() {
			return total === 0
				? 0
				: Math.max(0, sumSquareLog / total - (sumLog / total) ** 2);
		},
		add(tokens) {
			unit *= growth;
			put(bucketOf(tokens), Math.log(Math.max(1, tokens)), unit);
			if (unit > largestUnit) {
				scaleWeights(1 / unit);
				unit = 1;
			}
		},
		accumulate(shares, factor) {
			if (total === 0) {
				return;
			}

			const each = factor / total;
			for (let bucket = 0; bucket < bucketCount; bucket++) {
				shares[bucket] += weights[bucket] * each;
			}
		},
		capEffectiveCount(effectiveCount) {
			if (total > effectiveCount * unit) {
				scaleWeights((effectiveCount * unit) / total);
			}
		},
		copyFrom(other) {
			restore(other.weights());
		},
		weights() {
			return Array.from(weights, (weight) => weight / unit);
		},
		restore,
	};
}
