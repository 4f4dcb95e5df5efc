import type {Clock} from '../../common/index.js';

/** Size and refill of the token buckets; each target and each account has one. A token is one retry. */
export type RetryBudgetOptions = {
	readonly clock: Clock;
	/** Retries added to the buckets for each request. */
	readonly retriesPerRequest: number;
	/** Retries added to each bucket in a second, also without requests. */
	readonly retriesPerSecond: number;
	/** Largest number of retries in a bucket. */
	readonly bucketCapacity: number;
};

/**
 * Limits retries for each target and each account, so that the loss of many targets does not multiply the
 * load on the others.
 */
export type RetryBudget = {
	/**
	 * Records the first attempt of a request.
	 * @param targetId - target of the attempt
	 */
	recordRequest(account: string, targetId: string): void;
	/**
	 * Takes one retry.
	 * @param targetId - target of the attempt that failed
	 * @returns false if the target or the account has no retry left; then neither loses one
	 */
	tryTake(account: string, targetId: string): boolean;
};

type TokenBucket = {tokens: number; updatedMs: number};

/** Creates a budget whose buckets start full. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
	const {clock, retriesPerRequest, retriesPerSecond, bucketCapacity} = options;
	const buckets = new Map<string, TokenBucket>();

	const bucketOf = (key: string): TokenBucket => {
		const nowMs = clock.nowMs();
		let bucket = buckets.get(key);
		if (!bucket) {
			bucket = {tokens: bucketCapacity, updatedMs: nowMs};
			buckets.set(key, bucket);
		}

		const refill = ((nowMs - bucket.updatedMs) / 1000) * retriesPerSecond;
		bucket.tokens = Math.min(bucketCapacity, bucket.tokens + refill);
		bucket.updatedMs = nowMs;
		return bucket;
	};

	const bucketsOf = (account: string, targetId: string) => [
		bucketOf(`account:${account}`),
		bucketOf(`target:${targetId}`),
	];

	return {
		recordRequest(account, targetId) {
			for (const bucket of bucketsOf(account, targetId)) {
				bucket.tokens = Math.min(
					bucketCapacity,
					bucket.tokens + retriesPerRequest,
				);
			}
		},
		tryTake(account, targetId) {
			const both = bucketsOf(account, targetId);
			if (both.some((bucket) => bucket.tokens < 1)) {
				return false;
			}

			for (const bucket of both) {
				bucket.tokens--;
			}

			return true;
		},
	};
}
