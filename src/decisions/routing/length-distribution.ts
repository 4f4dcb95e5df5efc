import {
	bucketCount,
	bucketMiddleTokens,
	bucketsPerOctave,
} from './length-histogram.js';

/** Distribution of the output length of generations, in tokens. */
export type LengthDistribution = {
	/** Probability that a generation is longer than a number of tokens. */
	survival(tokens: number): number;
	/**
	 * Expected remaining output of a generation, in tokens; at least 1.
	 * @param producedTokens - output so far
	 * @param maxTokens - largest length allowed
	 */
	expectedRemaining(producedTokens: number, maxTokens: number): number;
};

/**
 * Creates a distribution from the buckets of a length histogram.
 * @param probabilities - probability of each bucket; the sum is 1
 */
export function createLengthDistribution(
	probabilities: Float64Array,
): LengthDistribution {
	const survivals = new Float64Array(bucketCount + 1);
	const partialMeans = new Float64Array(bucketCount + 1);
	for (let bucket = bucketCount - 1; bucket >= 0; bucket--) {
		survivals[bucket] = survivals[bucket + 1] + probabilities[bucket];
		partialMeans[bucket] =
			partialMeans[bucket + 1] +
			probabilities[bucket] * bucketMiddleTokens(bucket);
	}

	const interpolate = (values: Float64Array, tokens: number) => {
		if (tokens <= 1) {
			return values[0];
		}

		const position = Math.log2(tokens) * bucketsPerOctave;
		const bucket = Math.floor(position);
		if (bucket >= bucketCount) {
			return 0;
		}

		const fraction = position - bucket;
		return values[bucket] * (1 - fraction) + values[bucket + 1] * fraction;
	};

	return {
		survival(tokens) {
			return interpolate(survivals, tokens);
		},
		expectedRemaining(producedTokens, maxTokens) {
			const remainingLimit = Math.max(1, maxTokens - producedTokens);
			const survival = interpolate(survivals, producedTokens);
			if (survival <= 0) {
				return Math.min(remainingLimit, Math.max(1, producedTokens));
			}

			const mean = interpolate(partialMeans, producedTokens) / survival;
			return Math.min(remainingLimit, Math.max(1, mean - producedTokens));
		},
	};
}
