import type {LengthStatistics} from '../../decisions/routing/index.js';
import type {AdmittedRequest} from '../../decisions/serving/index.js';

/** Forecast of the output lengths of generations, from measured lengths and the callers' hints. */
export type OutputForecast = {
	/** Expected number of tokens after those already produced. */
	expectedRemaining(admitted: AdmittedRequest, producedTokens: number): number;
	/** Adds the length of a complete response, in tokens. */
	record(admitted: AdmittedRequest, tokens: number): void;
};

/** Weight of the caller's length hint against the measured lengths, whose error is smaller. */
const hintWeight = 0.33;

export function createOutputForecast(
	statistics: LengthStatistics,
): OutputForecast {
	return {
		expectedRemaining({request, route, account}, producedTokens) {
			const generationRequest = request.generation;
			if (!generationRequest) {
				return 0;
			}

			const maxTokens = generationRequest.maxOutputTokens || Infinity;
			const measuredTokens = statistics
				.distribution(account ?? '', route.name, generationRequest.model)
				.expectedRemaining(producedTokens, maxTokens);
			const hintTokens =
				(generationRequest.lengthHintTokens ?? 0) - producedTokens;
			const blendedTokens =
				hintTokens > 0
					? measuredTokens ** (1 - hintWeight) * hintTokens ** hintWeight
					: measuredTokens;
			return Math.min(Math.max(1, maxTokens - producedTokens), blendedTokens);
		},
		record({request, route, account}, tokens) {
			if (request.generation) {
				statistics.record(
					account ?? '',
					route.name,
					request.generation.model,
					tokens,
				);
			}
		},
	};
}
