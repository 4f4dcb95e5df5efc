import {type CacheEvent, prefixBlockTokens} from '../../common/index.js';

/** Prompt prefixes that an engine keeps, least recently used evicted first. */
export type PrefixCache = {
	/** Leading tokens of a prompt that need no computing. */
	cachedTokens(prefixHashes: readonly string[]): number;
	/** Keeps the prefixes of a prompt that was just computed. */
	store(prefixHashes: readonly string[]): void;
	/** Removes and returns the events since the last call. */
	takeEvents(): readonly CacheEvent[];
};

/**
 * Creates an empty cache.
 * @param capacityTokens - memory for cached prefixes, counted in tokens
 */
export function createPrefixCache(capacityTokens: number): PrefixCache {
	const maxBlocks = Math.floor(capacityTokens / prefixBlockTokens);
	// A map iterates in insertion order, so the first key is the least recently used one.
	const blocks = new Map<string, true>();
	let events: CacheEvent[] = [];
	let sequence = 0;

	const note = (change: CacheEvent['change'], prefixHash: string) => {
		events.push({sequence: ++sequence, change, prefixHash});
	};

	return {
		cachedTokens(prefixHashes) {
			let count = 0;
			while (count < prefixHashes.length && blocks.has(prefixHashes[count])) {
				count++;
			}

			return count * prefixBlockTokens;
		},
		store(prefixHashes) {
			// The longest prefix goes in first, so that it is evicted before the ones it extends.
			for (let index = prefixHashes.length - 1; index >= 0; index--) {
				const hash = prefixHashes[index];
				if (!blocks.delete(hash) && maxBlocks > 0) {
					note('stored', hash);
				}

				if (maxBlocks > 0) {
					blocks.set(hash, true);
				}
			}

			while (blocks.size > maxBlocks) {
				const [oldest] = blocks.keys();
				blocks.delete(oldest);
				note('evicted', oldest);
			}
		},
		takeEvents() {
			const taken = events;
			events = [];
			return taken;
		},
	};
}
