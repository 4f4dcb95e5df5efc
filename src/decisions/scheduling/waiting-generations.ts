import type {Clock} from '../../common/index.js';
import type {AccountUsage} from './account-usage.js';
import {
	compareRanks,
	neededTokens,
	type PendingGeneration,
	queueRank,
} from './generation-queue.js';

/** Generations of the same service ahead of one in the queue. */
export type GenerationsAhead = {
	readonly count: number;
	/** Memory that they need, in tokens. */
	readonly tokens: number;
};

/** The queue of all services. Keys name a request and its VM. */
export type WaitingGenerations = {
	readonly size: number;
	get(key: string): PendingGeneration | undefined;
	set(key: string, generation: PendingGeneration): void;
	delete(key: string): void;
	/** Generations that precede this one, which may be in the queue itself. */
	aheadOf(generation: PendingGeneration): GenerationsAhead;
	/** All generations in the order in which they are to be decided on. */
	inOrder(): ReadonlyArray<{key: string; generation: PendingGeneration}>;
};

export function createWaitingGenerations(
	clock: Clock,
	accounts: Pick<AccountUsage, 'standingOf'>,
): WaitingGenerations {
	const queue = new Map<string, PendingGeneration>();

	const rankOf = (generation: PendingGeneration, nowMs: number) => {
		const {service, account} = generation.request;
		return queueRank(generation, nowMs, accounts.standingOf(service, account));
	};

	return {
		get size() {
			return queue.size;
		},
		get: (key) => queue.get(key),
		set(key, generation) {
			queue.set(key, generation);
		},
		delete(key) {
			queue.delete(key);
		},
		aheadOf(generation) {
			const nowMs = clock.nowMs();
			const {request} = generation;
			const rank = rankOf(generation, nowMs);
			let tokens = 0;
			let count = 0;
			for (const other of queue.values()) {
				if (
					other.request.service === request.service &&
					other.request.id !== request.id &&
					compareRanks(rankOf(other, nowMs), rank) < 0
				) {
					tokens += neededTokens(other.request);
					count++;
				}
			}

			return {tokens, count};
		},
		inOrder() {
			const nowMs = clock.nowMs();
			return [...queue]
				.map(([key, generation]) => ({
					key,
					generation,
					rank: rankOf(generation, nowMs),
				}))
				.sort((a, b) => compareRanks(a.rank, b.rank));
		},
	};
}
