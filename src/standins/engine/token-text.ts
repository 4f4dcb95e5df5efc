import {createHash} from 'node:crypto';

/** Words that a stand-in answer is made of, so that a caller can check each token's generation and position. */
export function tokenText(generationId: string, position: number): string {
	return `${generationId}:${position} `;
}

/**
 * Length of a stand-in answer: heavy-tailed, fixed by the prompt.
 * @param prompt - prompt of the generation
 * @param maxTokens - largest length allowed
 * @returns length in tokens, at least 1
 */
export function outputTokensFor(prompt: string, maxTokens: number): number {
	const wanted = /\btokens=(\d+)\b/.exec(prompt);
	if (wanted) {
		return Math.max(1, Math.min(maxTokens, Number(wanted[1])));
	}

	const digest = createHash('sha256').update(prompt).digest();
	const unit = (digest.readUInt32BE(0) + 1) / (2 ** 32 + 1);
	return Math.max(1, Math.min(maxTokens, Math.round(20 * unit ** -0.8)));
}
