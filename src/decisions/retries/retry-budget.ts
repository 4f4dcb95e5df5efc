import type {Clock} from '../../common/index.js';

/** How many retries a target and an account may cause. */
export type RetryBudgetOptions = {
	readonly clock: Clock;
	/** Retries that each request earns. */
	readonly retriesPerRequest: number;
	/** Retries that are earned without any requests, for each second. */
	readonly retriesPerSecond: number;
	/** Largest number of retries that are saved up. */
	readonly bucketCapacity: number;
};

/**
 * Bounds retries for each target and each account, so that the loss of many targets does not
 * multiply the load on the others.
 */
export type RetryBudget = {
	/** A request was sent for the first time. */
	recordRequest(account: string, targetId: string): void;
	/** @returns false if the target or the account has no retry left; then nothing is taken */
	tryTake(account: string, targetId: string): boolean;
};

type Purse = {saved: number; updatedMs: number};

/** Creates a budget; every target and account starts with all that it can save. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
	const {clock, retriesPerRequest, retriesPerSecond, bucketCapacity} = options;
	const purses = new Map<string, Purse>();

	const purseOf = (key: string): Purse => {
		const nowMs = clock.nowMs();
		let purse = purses.get(key);
		if (!purse) {
			purse = {saved: bucketCapacity, updatedMs: nowMs};
			purses.set(key, purse);
		}

		const earned = ((nowMs - purse.updatedMs) / 1000) * retriesPerSecond;
		purse.saved = Math.min(bucketCapacity, purse.saved + earned);
		purse.updatedMs = nowMs;
		return purse;
	};

	const pursesOf = (account: string, targetId: string) => [
		purseOf(`account:${account}`),
		purseOf(`target:${targetId}`),
	];

	return {
		recordRequest(account, targetId) {
			for (const purse of pursesOf(account, targetId)) {
				purse.saved = Math.min(bucketCapacity, purse.saved + retriesPerRequest);
			}
		},
		tryTake(account, targetId) {
			const both = pursesOf(account, targetId);
			if (both.some((purse) => purse.saved < 1)) {
				return false;
			}

			for (const purse of both) {
				purse.saved--;
			}

			return true;
		},
	};
}
