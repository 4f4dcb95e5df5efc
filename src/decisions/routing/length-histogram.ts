/** Number of buckets for each doubling of the length. */
export const bucketsPerOctave = 4;

const octaves = 17;

/** Number of buckets of a histogram; the last one also counts all longer outputs. */
export const bucketCount = octaves * bucketsPerOctave + 1;

// Sample weight at which all weights are rescaled, to stay within the range of numbers.
const maxSampleWeight = 1e9;

/** Histogram of output lengths with exponentially decaying sample weights. */
export type LengthHistogram = {
	/** Sum of all sample weights, relative to the weight of the newest sample. */
	readonly effectiveCount: number;
	/** Mean of the natural logarithm of the length. */
	readonly meanLog: number;
	/** Variance of the natural logarithm of the length. */
	readonly varianceLog: number;
	add(tokens: number): void;
	/** Adds the probability of each bucket, multiplied by a factor, to an array; nothing if it is empty. */
	accumulate(probabilities: Float64Array, factor: number): void;
	/** Scales the weights down to an effective count, so that new samples soon outweigh the old ones. */
	capEffectiveCount(effectiveCount: number): void;
	/** Replaces the contents by the bucket weights of another histogram, as `restore` does. */
	copyFrom(other: LengthHistogram): void;
	/** Weight of each bucket, relative to the weight of the newest sample. */
	weights(): readonly number[];
	/**
	 * Replaces the contents by stored bucket weights. The mean and variance of the logarithm are then
	 * approximate, since they are computed from the middles of the buckets.
	 */
	restore(weights: readonly number[]): void;
};

/** Bucket of a length in tokens. */
export function bucketOf(tokens: number): number {
	return Math.min(
		bucketCount - 1,
		Math.max(0, Math.floor(Math.log2(tokens) * bucketsPerOctave)),
	);
}

const bucketMiddles = Float64Array.from(
	{length: bucketCount},
	(_, bucket) => 2 ** ((bucket + 0.5) / bucketsPerOctave),
);

/** Typical length in a bucket, in tokens. */
export function bucketMiddleTokens(bucket: number): number {
	return bucketMiddles[bucket];
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
	// Weight of the newest sample. It grows with each sample, which avoids scaling down all buckets.
	let sampleWeight = 1;
	let total = 0;
	let sumLog = 0;
	let sumSquareLog = 0;

	const addWeighted = (bucket: number, log: number, weight: number) => {
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
		sampleWeight = 1;
		total = 0;
		sumLog = 0;
		sumSquareLog = 0;
		for (const [bucket, weight] of stored.slice(0, bucketCount).entries()) {
			addWeighted(bucket, Math.log(bucketMiddleTokens(bucket)), weight);
		}
	};

	return {
		get effectiveCount() {
			return total / sampleWeight;
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
			sampleWeight *= growth;
			addWeighted(
				bucketOf(tokens),
				Math.log(Math.max(1, tokens)),
				sampleWeight,
			);
			if (sampleWeight > maxSampleWeight) {
				scaleWeights(1 / sampleWeight);
				sampleWeight = 1;
			}
		},
		accumulate(probabilities, factor) {
			if (total === 0) {
				return;
			}

			const scale = factor / total;
			for (let bucket = 0; bucket < bucketCount; bucket++) {
				probabilities[bucket] += weights[bucket] * scale;
			}
		},
		capEffectiveCount(effectiveCount) {
			if (total > effectiveCount * sampleWeight) {
				scaleWeights((effectiveCount * sampleWeight) / total);
			}
		},
		copyFrom(other) {
			restore(other.weights());
		},
		weights() {
			return Array.from(weights, (weight) => weight / sampleWeight);
		},
		restore,
	};
}
