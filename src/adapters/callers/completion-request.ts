import * as z from 'zod';
import {ProblemError} from '../../common/index.js';

const completionSchema = z.object({
	model: z.string().min(1),
	prompt: z.string(),
	max_tokens: z.number().int().min(1).optional(),
	stream: z.boolean().default(false),
	delivery: z.enum(['whole', 'restartable', 'live']).optional(),
	class: z
		.string()
		.regex(/^[\w-]{1,64}$/)
		.default('default'),
});

/** Body of an OpenAI-style completions request, extended by `delivery` and `class`. */
export type CompletionRequest = z.infer<typeof completionSchema>;

/**
 * Validates the body of a completions request.
 * @throws ProblemError `invalid-request` with the name of the invalid field
 */
export function parseCompletionRequest(body: unknown): CompletionRequest {
	const result = completionSchema.safeParse(body);
	if (result.success) {
		return result.data;
	}

	const [issue] = result.error.issues;
	const field = issue.path.join('.') || 'body';
	throw new ProblemError('invalid-request', `${field}: ${issue.message}`, {
		field,
	});
}
