import type {LengthDistribution} from './length-distribution.js';

/**
 * Horizons of the memory forecast, in decoding steps from now. All streams of an engine advance by one
 * token in each step, so its memory is forecast in steps instead of in time.
 */
export const horizonSteps: readonly number[] = [0, 32, 128, 400, 1200, 2800];

export const horizonCount = horizonSteps.length;

/** Expected memory of one stream at each horizon, in tokens, and its variance. */
export type StreamForecast = {
	readonly meanTokens: Float64Array;
	readonly variance: Float64Array;
};

/** Current and largest size of a stream. */
export type StreamSize = {
	readonly promptTokens: number;
	readonly producedTokens: number;
	/** Largest output allowed, in tokens. */
	readonly maxTokens: number;
};

/** Creates a forecast that is zero at all horizons. */
export function createStreamForecast(): StreamForecast {
	return {
		meanTokens: new Float64Array(horizonCount),
		variance: new Float64Array(horizonCount),
	};
}

/**
 * Forecasts the memory of a stream, which holds its prompt and output until it ends.
 * @param forecast - receives the result
 */
export function forecastStream(
	forecast: StreamForecast,
	distribution: LengthDistribution,
	stream: StreamSize,
): void {
	const {promptTokens, producedTokens, maxTokens} = stream;
	const currentSurvival = distribution.survival(producedTokens);
	for (let index = 0; index < horizonCount; index++) {
		const steps = horizonSteps[index];
		const length = producedTokens + steps;
		let survival = 1;
		if (index > 0) {
			survival =
				length >= maxTokens
					? 0
					: currentSurvival > 0
						? distribution.survival(length) / currentSurvival
						: // Longer than all samples: assumes a Pareto tail with exponent 1.
							producedTokens / length;
		}

		const size = promptTokens + length;
		forecast.meanTokens[index] = size * survival;
		forecast.variance[index] = size * size * survival * (1 - survival);
	}
}

/** Adds a forecast to sums, or subtracts it with a sign of -1. */
export function addForecast(
	sums: StreamForecast,
	forecast: StreamForecast,
	sign: 1 | -1,
): void {
	for (let index = 0; index < horizonCount; index++) {
		sums.meanTokens[index] += sign * forecast.meanTokens[index];
		sums.variance[index] += sign * forecast.variance[index];
	}
}
