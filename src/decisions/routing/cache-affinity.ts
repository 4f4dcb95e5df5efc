import {type CacheEvent, prefixBlockTokens} from '../../common/index.js';

/** What this VM believes of one engine's prefix cache. */
export type CacheAffinity = {
	/** Sequence number of the last event taken in. */
	readonly lastSequence: number;
	/** Takes in events; they may be late and have gaps. */
	note(events: readonly CacheEvent[], nowMs: number): void;
	/** A prompt with these prefixes was just sent to the engine. */
	sent(prefixHashes: readonly string[], nowMs: number): void;
	/** Expected leading tokens of a prompt that the engine need not compute. */
	expectedCachedTokens(prefixHashes: readonly string[], nowMs: number): number;
};

type Belief = {
	atMs: number;
	/** Value of the engine's gap count when the belief was formed. */
	gaps: number;
};

const maxBeliefs = 4096;
const firstLifetimeMs = 120_000;
const lifetimeSmoothing = 0.05;

// A lost event may have been the eviction of any prefix.
const gapFactor = 0.9;

/** Creates beliefs of an empty cache. */
export function createCacheAffinity(): CacheAffinity {
	const beliefs = new Map<string, Belief>();
	let lastSequence = 0;
	let gaps = 0;
	let lifetimeMs = firstLifetimeMs;

	const believe = (hash: string, nowMs: number) => {
		beliefs.delete(hash);
		beliefs.set(hash, {atMs: nowMs, gaps});
		if (beliefs.size > maxBeliefs) {
			const [oldest] = beliefs.keys();
			beliefs.delete(oldest);
		}
	};

	const forget = (hash: string, nowMs: number) => {
		const belief = beliefs.get(hash);
		if (belief) {
			const seenMs = nowMs - belief.atMs;
			lifetimeMs += lifetimeSmoothing * (seenMs - lifetimeMs);
			beliefs.delete(hash);
		}
	};

	return {
		get lastSequence() {
			return lastSequence;
		},
		note(events, nowMs) {
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
		sent(prefixHashes, nowMs) {
			for (const hash of prefixHashes) {
				believe(hash, nowMs);
			}
		},
		expectedCachedTokens(prefixHashes, nowMs) {
			let expected = 0;
			for (const hash of prefixHashes) {
				const belief = beliefs.get(hash);
				if (!belief) {
					break;
				}

				const age = Math.exp(-(nowMs - belief.atMs) / lifetimeMs);
				const missed = gaps - belief.gaps;
				expected +=
					prefixBlockTokens * age * (missed > 0 ? gapFactor ** missed : 1);
			}

			return expected;
		},
	};
}
