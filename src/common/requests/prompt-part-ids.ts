import type {CallerRequest} from './types.js';

/** Prompts with more parts are rare; the first ones are those that requests share. */
const maxPartsPerPrompt = 64;

/** Ids of the parts of a request's prompt, in their order; empty for requests without a prompt. */
export function promptPartIds({generation}: CallerRequest): readonly string[] {
	return (generation?.promptParts ?? [])
		.slice(0, maxPartsPerPrompt)
		.map(({id}) => id);
}
