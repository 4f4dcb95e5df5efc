import {
	type Engine,
	prefixHashesOf,
	ProblemError,
	promptTokensOf,
} from '../../common/index.js';
import type {GenerationPlacer, GenerationRequest} from '../streams/index.js';
import type {GenerationRouter} from './router-types.js';
import type {RoutingRequest} from './types.js';

function routedRequestOf(request: GenerationRequest): RoutingRequest {
	const {account, requestClass, model, prompt, maxTokens, delivery} = request;
	return {
		account,
		requestClass,
		model,
		promptTokens: promptTokensOf(prompt),
		prefixHashes: prefixHashesOf(prompt),
		maxTokens,
		delivery,
	};
}

/**
 * Offers a router to relay sessions.
 * @param findEngine - client of a target
 */
export function createGenerationPlacer(
	router: GenerationRouter,
	findEngine: (targetId: string) => Engine | undefined,
): GenerationPlacer {
	return {
		place(request, callbacks, avoidTargetId) {
			return router.submit(
				routedRequestOf(request),
				{
					onPlaced({targetId, generationId, priority}) {
						const engine = findEngine(targetId);
						if (engine) {
							callbacks.onPlaced({engine, generationId, priority});
						} else {
							router.ended(generationId, 'cancelled', 0);
							callbacks.onRefused(
								new ProblemError('not-run', 'the target was removed', {
									retryAfterMs: 1000,
								}),
							);
						}
					},
					onRefused(problem) {
						callbacks.onRefused(problem);
					},
				},
				avoidTargetId,
			);
		},
		progressed(generationId, producedTokens) {
			router.progressed(generationId, producedTokens);
		},
		ended(generationId, outcome, producedTokens) {
			router.ended(generationId, outcome, producedTokens);
		},
		adopt(request, place, position) {
			const engine = findEngine(place.targetId);
			if (engine) {
				router.adopt(
					routedRequestOf(request),
					place.targetId,
					place.generationId,
					position,
				);
			}

			return engine;
		},
	};
}
