import type {LengthDistribution} from './length-distribution.js';
import type {LengthStatistics} from './length-statistics.js';
import {
	createStreamForecast,
	forecastStream,
	type StreamForecast,
} from './stream-forecast.js';
import type {RoutingRequest} from './types.js';

/** What is expected of a request. */
export type RequestForecast = {
	readonly distribution: LengthDistribution;
	readonly forecast: StreamForecast;
	/** Expected further output, in tokens. */
	readonly expectedTokens: number;
};

/** Forecasts a request from the lengths seen so far. */
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
