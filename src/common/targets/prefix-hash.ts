/** Tokens between two positions at which an engine hashes the prefix of a prompt. */
export const prefixBlockTokens = 256;

/** Characters that count as one token of a prompt. */
export const charactersPerToken = 4;

// Longer prefixes are rare, and hashing them would not fit the time for a placement.
const maxBlocks = 16;

const offsetBasis = 2_166_136_261;
const prime = 16_777_619;

/** Length of a prompt in tokens, as the engines of this fleet count it. */
export function promptTokensOf(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken);
}

/**
 * Hashes of a prompt's prefixes, one for each whole block, shortest first. Engines name the same
 * hashes in their cache events.
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
