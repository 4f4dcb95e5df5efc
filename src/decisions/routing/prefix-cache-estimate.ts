import {type CacheEvent, prefixBlockTokens} from '../../common/index.js';
import type {CachedPrefix, PrefixIndex, PrefixRow} from './prefix-index.js';

/** What this VM believes of one engine's prefix cache. */
export type PrefixCacheEstimate = {
	/** Sequence number of the last event taken in. */
	readonly lastSequence: number;
	/** Takes in events; they may be late and have gaps. */
	recordEvents(events: readonly CacheEvent[], nowMs: number): void;
	/** A prompt with these prefixes was just sent to the engine. */
	recordSentPrompt(prefixHashes: readonly string[], nowMs: number): void;
	/**
	 * Expected leading tokens of a prompt that the engine need not compute.
	 * @param rows - rows of the prompt's prefixes in the shared index
	 */
	expectedCachedTokens(rows: readonly PrefixRow[], nowMs: number): number;
	/** Takes all beliefs out of the shared index. */
	clear(): void;
};

const maxBeliefs = 4096;
const firstLifetimeMs = 120_000;
const lifetimeSmoothing = 0.05;

// A lost event may have been the eviction of any prefix.
const gapFactor = 0.9;

/**
 * Creates beliefs of an empty cache.
 * @param slot - place of the engine in the rows of the index
 */
export function createPrefixCacheEstimate(
	index: PrefixIndex,
	slot: number,
): PrefixCacheEstimate {
	const beliefs = new Map<string, CachedPrefix>();
	let lastSequence = 0;
	let gaps = 0;
	let lifetimeMs = firstLifetimeMs;

	const believe = (hash: string, nowMs: number) => {
		beliefs.delete(hash);
		const belief = {atMs: nowMs, missedEventCount: gaps};
		beliefs.set(hash, belief);
		index.set(hash, slot, belief);
		if (beliefs.size > maxBeliefs) {
			const [oldest] = beliefs.keys();
			beliefs.delete(oldest);
			index.delete(oldest, slot);
		}
	};

	const forget = (hash: string, nowMs: number) => {
		const belief = beliefs.get(hash);
		if (belief) {
			const seenMs = nowMs - belief.atMs;
			lifetimeMs += lifetimeSmoothing * (seenMs - lifetimeMs);
			beliefs.delete(hash);
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

				gaps += event.sequence - lastSequence - 1;
				lastSequence = event.sequence;
				if (event.change === 'stored') {
					believe(event.prefixHash, nowMs);
				} else {
					forget(event.prefixHash, nowMs);
				}
			}
		},
		recordSentPrompt(prefixHashes, nowMs) {
			for (const hash of prefixHashes) {
				believe(hash, nowMs);
			}
		},
		expectedCachedTokens(rows, nowMs) {
			let expected = 0;
			for (const row of rows) {
				const belief = row[slot];
				if (!belief) {
					break;
				}

				// Close to the exponential function and cheaper, since placement calls this for each engine.
				const lifetimes = (nowMs - belief.atMs) / lifetimeMs;
				const age = 1 / (1 + lifetimes + (lifetimes * lifetimes) / 2);
				const missed = gaps - belief.missedEventCount;
				expected +=
					prefixBlockTokens * age * (missed > 0 ? gapFactor ** missed : 1);
			}

			return expected;
		},
		clear() {
			for (const hash of beliefs.keys()) {
				index.delete(hash, slot);
			}

			beliefs.clear();
		},
	};
}
