import {
	bucketCount,
	bucketMiddleTokens,
	bucketsPerOctave,
} from './length-histogram.js';

/** Distribution of the output length of a kind of generation. */
export type LengthDistribution = {
	/** Probability that a generation is longer than a number of tokens. */
	survival(tokens: number): number;
	/**
	 * Expected further tokens of a generation.
	 * @param producedTokens - tokens that it has produced so far
	 * @param maxTokens - largest length allowed
	 */
	expectedRemaining(producedTokens: number, maxTokens: number): number;
};

/**
 * Creates a distribution.
 * @param shares - share of each bucket, adding up to 1
 */
export function createLengthDistribution(
	shares: Float64Array,
): LengthDistribution {
	const survivals = new Float64Array(bucketCount + 1);
	const tails = new Float64Array(bucketCount + 1);
	for (let bucket = bucketCount - 1; bucket >= 0; bucket--) {
		survivals[bucket] = survivals[bucket + 1] + shares[bucket];
		tails[bucket] =
			tails[bucket + 1] + shares[bucket] * bucketMiddleTokens(bucket);
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

		const part = position - bucket;
		return values[bucket] * (1 - part) + values[bucket + 1] * part;
	};

	return {
		survival(tokens) {
			return interpolate(survivals, tokens);
		},
		expectedRemaining(producedTokens, maxTokens) {
			const left = Math.max(1, maxTokens - producedTokens);
			const survival = interpolate(survivals, producedTokens);
			if (survival <= 0) {
				return Math.min(left, Math.max(1, producedTokens));
			}

			const mean = interpolate(tails, producedTokens) / survival;
			return Math.min(left, Math.max(1, mean - producedTokens));
		},
	};
}
