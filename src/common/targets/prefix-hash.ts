/** Block size of prefix hashing, in tokens: engines hash a prompt's prefix at every multiple of it. */
export const prefixBlockTokens = 256;

/** Number of characters that engines count as one token of a prompt. */
export const charactersPerToken = 4;

// Longer prefixes are rare, and hashing them would exceed the time available for a placement decision.
const maxBlocks = 16;

const offsetBasis = 2_166_136_261;
const prime = 16_777_619;

/** @returns length of a prompt in tokens, as the engines count it */
export function promptTokensOf(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken);
}

/**
 * Hashes the prefixes of a prompt that end at a block boundary, shortest first. The hashes equal those
 * in the engines' cache events.
 */
export function prefixHashesOf(prompt: string): readonly string[] {
	const blockCharacters = prefixBlockTokens * charactersPerToken;
	const blocks = Math.min(
		maxBlocks,
		Math.floor(prompt.length / blockCharacters),
	);
	const hashes: string[] = [];
	let hash = offsetBasis;
	for (let block = 0; block < blocks; block++) {
		const end = (block + 1) * blockCharacters;
		for (let index = block * blockCharacters; index < end; index++) {
			// 32-bit FNV-1a over UTF-16 code units.
			// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
			hash = Math.imul(hash ^ prompt.charCodeAt(index), prime);
		}

		// eslint-disable-next-line no-bitwise
		hashes.push((hash >>> 0).toString(36));
	}

	return hashes;
}
