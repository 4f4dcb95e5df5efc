import type {LengthDistribution} from './length-distribution.js';
import type {LengthStatistics} from './length-statistics.js';
import {
	createStreamForecast,
	forecastStream,
	type StreamForecast,
} from './stream-forecast.js';
import type {RoutingRequest} from './types.js';

/** Forecast of the output and memory of a request. */
export type RequestForecast = {
	readonly distribution: LengthDistribution;
	readonly forecast: StreamForecast;
	/** Expected remaining output, in tokens. */
	readonly expectedTokens: number;
};

/**
 * Forecasts a request from the recorded output lengths.
 * @param producedTokens - output so far
 */
export function forecastRequest(
	statistics: LengthStatistics,
	request: RoutingRequest,
	producedTokens: number,
): RequestForecast {
	const {account, requestClass, model, promptTokens, maxTokens} = request;
	const distribution = statistics.distribution(account, requestClass, model);
	const forecast = createStreamForecast();
	forecastStream(forecast, distribution, {
		promptTokens,
		producedTokens,
		maxTokens,
	});
	const expectedTokens = distribution.expectedRemaining(
		producedTokens,
		maxTokens,
	);
	return {distribution, forecast, expectedTokens};
}
