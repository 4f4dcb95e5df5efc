import {type CacheEvent, prefixBlockTokens} from '../../common/index.js';
import type {CachedPrefix, PrefixIndex, PrefixRow} from './prefix-index.js';

/** Estimate of the contents of one engine's prefix cache, from its events and the prompts sent to it. */
export type PrefixCacheEstimate = {
	/** Sequence number of the last recorded event. */
	readonly lastSequence: number;
	/** Records events; they may be late, repeated or incomplete. */
	recordEvents(events: readonly CacheEvent[], nowMs: number): void;
	/** Records that a prompt with these prefixes was sent to the engine, which caches them. */
	recordSentPrompt(prefixHashes: readonly string[], nowMs: number): void;
	/**
	 * Expected number of leading prompt tokens that the engine has cached.
	 * @param rows - rows of the prompt's prefixes in the shared index
	 */
	expectedCachedTokens(rows: readonly PrefixRow[], nowMs: number): number;
	/** Removes all prefixes of the engine, also from the shared index. */
	clear(): void;
};

// Prefixes remembered for one engine; the least recently seen are dropped.
const maxPrefixes = 4096;
// Assumed lifetime of a cached prefix before any eviction has been observed.
const initialLifetimeMs = 120_000;
const lifetimeSmoothing = 0.05;

// Factor on the estimate for each missed event, which may have been the eviction of the prefix.
const missedEventFactor = 0.9;

/**
 * Creates the estimate of an empty cache.
 * @param slot - index of the engine in the rows of the shared index
 */
export function createPrefixCacheEstimate(
	index: PrefixIndex,
	slot: number,
): PrefixCacheEstimate {
	const prefixes = new Map<string, CachedPrefix>();
	let lastSequence = 0;
	let missedEventCount = 0;
	let lifetimeMs = initialLifetimeMs;

	const addPrefix = (hash: string, nowMs: number) => {
		prefixes.delete(hash);
		const prefix = {atMs: nowMs, missedEventCount};
		prefixes.set(hash, prefix);
		index.set(hash, slot, prefix);
		if (prefixes.size > maxPrefixes) {
			const [oldest] = prefixes.keys();
			prefixes.delete(oldest);
			index.delete(oldest, slot);
		}
	};

	const removePrefix = (hash: string, nowMs: number) => {
		const prefix = prefixes.get(hash);
		if (prefix) {
			const lifetimeSampleMs = nowMs - prefix.atMs;
			lifetimeMs += lifetimeSmoothing * (lifetimeSampleMs - lifetimeMs);
			prefixes.delete(hash);
			index.delete(hash, slot);
		}
	};

	return {
		get lastSequence() {
			return lastSequence;
		},
		recordEvents(events, nowMs) {
			for (const event of events) {
				if (event.sequence <= lastSequence) {
					continue;
				}

				missedEventCount += event.sequence - lastSequence - 1;
				lastSequence = event.sequence;
				if (event.change === 'stored') {
					addPrefix(event.prefixHash, nowMs);
				} else {
					removePrefix(event.prefixHash, nowMs);
				}
			}
		},
		recordSentPrompt(prefixHashes, nowMs) {
			for (const hash of prefixHashes) {
				addPrefix(hash, nowMs);
			}
		},
		expectedCachedTokens(rows, nowMs) {
			let expected = 0;
			for (const row of rows) {
				const prefix = row[slot];
				if (!prefix) {
					break;
				}

				// Approximates exp(-ageInLifetimes) at a lower cost, since placement calls this for each engine.
				const ageInLifetimes = (nowMs - prefix.atMs) / lifetimeMs;
				const ageFactor =
					1 / (1 + ageInLifetimes + (ageInLifetimes * ageInLifetimes) / 2);
				const missedSince = missedEventCount - prefix.missedEventCount;
				expected +=
					prefixBlockTokens *
					ageFactor *
					(missedSince > 0 ? missedEventFactor ** missedSince : 1);
			}

			return expected;
		},
		clear() {
			for (const hash of prefixes.keys()) {
				index.delete(hash, slot);
			}

			prefixes.clear();
		},
	};
}
