import {createHash} from 'node:crypto';

/** Text of a token of a stand-in engine. It names generation and position, so that receivers can verify them. */
export function tokenText(generationId: string, position: number): string {
	return `${generationId}:${position} `;
}

/**
 * Length of the output of a stand-in engine: the number in `tokens=<number>` if the prompt contains it,
 * otherwise drawn from a heavy-tailed distribution, deterministically by the hash of the prompt.
 * @param maxTokens - largest allowed length
 * @returns length in tokens, at least 1
 */
export function outputTokensFor(prompt: string, maxTokens: number): number {
	const requested = /\btokens=(\d+)\b/.exec(prompt);
	if (requested) {
		return Math.max(1, Math.min(maxTokens, Number(requested[1])));
	}

	const digest = createHash('sha256').update(prompt).digest();
	const uniform = (digest.readUInt32BE(0) + 1) / (2 ** 32 + 1);
	return Math.max(1, Math.min(maxTokens, Math.round(20 * uniform ** -0.8)));
}
