/** Tokens that one VM delivered to an account. */
export type TokenDelivery = {
	readonly account: string;
	readonly vm: string;
	readonly atMs: number;
	readonly tokens: number;
	/** False if the VM may be unreachable, so that the other VMs cannot know of these tokens. */
	readonly isReported: boolean;
};

/** Tokens delivered to accounts in one minute, by account, VM and time. */
export type DeliveryRecord = {
	/** Adds a delivery, which must not be earlier than the previous one. */
	add(delivery: TokenDelivery): void;
	/** Tokens delivered to an account up to a time, by all VMs or all but `exceptVm`. */
	deliveredTokens(account: string, untilMs: number, exceptVm?: string): number;
	/** Like `deliveredTokens`, without unreported deliveries. */
	reportedTokens(account: string, untilMs: number, exceptVm: string): number;
	/** Marks the deliveries of a VM since a time as unreported. */
	markUnreported(vm: string, sinceMs: number): void;
	/** Removes all deliveries, at the start of a minute. */
	clear(): void;
};

/** Deliveries of one VM to one account at one time. */
type TimeBucket = {
	readonly atMs: number;
	/** Tokens of this bucket and all earlier ones. */
	cumulativeTokens: number;
	/** Reported tokens of this bucket alone. */
	reportedTokens: number;
};

/** Creates a record without deliveries. */
export function createDeliveryRecord(): DeliveryRecord {
	const accounts = new Map<string, Map<string, TimeBucket[]>>();

	const bucketsOf = (account: string, vm: string) => {
		let vms = accounts.get(account);
		if (!vms) {
			vms = new Map();
			accounts.set(account, vms);
		}

		let buckets = vms.get(vm);
		if (!buckets) {
			buckets = [];
			vms.set(vm, buckets);
		}

		return buckets;
	};

	const sum = (
		account: string,
		exceptVm: string | undefined,
		tokensOf: (buckets: readonly TimeBucket[]) => number,
	) => {
		let tokens = 0;
		for (const [vm, buckets] of accounts.get(account) ?? []) {
			tokens += vm === exceptVm ? 0 : tokensOf(buckets);
		}

		return tokens;
	};

	return {
		add({account, vm, atMs, tokens, isReported}) {
			const buckets = bucketsOf(account, vm);
			let bucket = buckets.at(-1);
			if (bucket?.atMs !== atMs) {
				const cumulativeTokens = bucket?.cumulativeTokens ?? 0;
				bucket = {atMs, cumulativeTokens, reportedTokens: 0};
				buckets.push(bucket);
			}

			bucket.cumulativeTokens += tokens;
			bucket.reportedTokens += isReported ? tokens : 0;
		},
		// Queries are about the last few seconds, so the search starts at the end.
		deliveredTokens: (account, untilMs, exceptVm) =>
			sum(
				account,
				exceptVm,
				(buckets) =>
					buckets.findLast(({atMs}) => atMs <= untilMs)?.cumulativeTokens ?? 0,
			),
		reportedTokens: (account, untilMs, exceptVm) =>
			sum(account, exceptVm, (buckets) => {
				let tokens = 0;
				for (const {atMs, reportedTokens} of buckets) {
					tokens += atMs <= untilMs ? reportedTokens : 0;
				}

				return tokens;
			}),
		markUnreported(vm, sinceMs) {
			for (const vms of accounts.values()) {
				for (const bucket of vms.get(vm) ?? []) {
					bucket.reportedTokens =
						bucket.atMs >= sinceMs ? 0 : bucket.reportedTokens;
				}
			}
		},
		clear() {
			accounts.clear();
		},
	};
}
