import type {EngineRequest} from '../../common/index.js';
import type {GenerationRequest, EngineAssignment} from './types.js';

/**
 * Creates the request for a placed generation.
 * @param nowMs - monotonic time in milliseconds
 */
export function engineRequestOf(
	request: GenerationRequest,
	placed: EngineAssignment,
	nowMs: number,
): EngineRequest {
	const {model, prompt, maxTokens, deadlineMs} = request;
	const {generationId, priority} = placed;
	const timeoutMs = deadlineMs === undefined ? undefined : deadlineMs - nowMs;
	return {generationId, model, prompt, maxTokens, priority, timeoutMs};
}
