import type {LengthDistribution} from './length-distribution.js';

/**
 * Decoding steps ahead at which memory is forecast. The streams of an engine advance together, one
 * token in each step, so steps are the natural clock of its memory.
 */
export const horizonSteps: readonly number[] = [0, 32, 128, 400, 1200, 2800];

/** Number of horizons. */
export const horizonCount = horizonSteps.length;

/** Expected memory of one stream at each horizon, in tokens, and its variance. */
export type StreamForecast = {
	readonly meanTokens: Float64Array;
	readonly variance: Float64Array;
};

/** What is known of a stream's size. */
export type StreamSize = {
	readonly promptTokens: number;
	readonly producedTokens: number;
	/** Largest output allowed. */
	readonly maxTokens: number;
};

/** Creates a forecast of no memory. */
export function createStreamForecast(): StreamForecast {
	return {
		meanTokens: new Float64Array(horizonCount),
		variance: new Float64Array(horizonCount),
	};
}

/**
 * Forecasts a stream that holds its prompt and output until it ends, and nothing afterwards.
 * @param forecast - receives the result
 */
export function forecastStream(
	forecast: StreamForecast,
	distribution: LengthDistribution,
	stream: StreamSize,
): void {
	const {promptTokens, producedTokens, maxTokens} = stream;
	const alive = distribution.survival(producedTokens);
	for (let index = 0; index < horizonCount; index++) {
		const steps = horizonSteps[index];
		const length = producedTokens + steps;
		let survival = 1;
		if (index > 0) {
			survival =
				length >= maxTokens
					? 0
					: alive > 0
						? distribution.survival(length) / alive
						: producedTokens / length;
		}

		const size = promptTokens + length;
		forecast.meanTokens[index] = size * survival;
		forecast.variance[index] = size * size * survival * (1 - survival);
	}
}

/** Adds a forecast to sums, or takes it off with a sign of -1. */
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
