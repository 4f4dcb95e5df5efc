import {type CacheEvent, prefixBlockTokens} from '../../common/index.js';

/** Prefix cache of a simulated engine, with eviction of the least recently used block. */
export type PrefixCache = {
	/** Number of leading prompt tokens whose KV cache is present and need not be computed. */
	cachedTokens(prefixHashes: readonly string[]): number;
	/** Adds the prefixes of a prompt that was computed, or marks them as used. */
	store(prefixHashes: readonly string[]): void;
	/** Removes and returns the events since the last call. */
	takeEvents(): readonly CacheEvent[];
};

/** @param capacityTokens - memory for cached prefixes, counted in tokens */
export function createPrefixCache(capacityTokens: number): PrefixCache {
	const maxBlocks = Math.floor(capacityTokens / prefixBlockTokens);
	// Keys are prefix hashes. A map iterates in insertion order, so the first key is the least recently used one.
	const blocks = new Map<string, true>();
	let events: CacheEvent[] = [];
	let sequence = 0;

	const addEvent = (change: CacheEvent['change'], prefixHash: string) => {
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
			// The longest prefix is added first, so that it is evicted before the prefixes that it extends.
			for (let index = prefixHashes.length - 1; index >= 0; index--) {
				const hash = prefixHashes[index];
				if (!blocks.delete(hash) && maxBlocks > 0) {
					addEvent('stored', hash);
				}

				if (maxBlocks > 0) {
					blocks.set(hash, true);
				}
			}

			while (blocks.size > maxBlocks) {
				const [oldest] = blocks.keys();
				blocks.delete(oldest);
				addEvent('evicted', oldest);
			}
		},
		takeEvents() {
			const taken = events;
			events = [];
			return taken;
		},
	};
}
