/** Tokens that one VM gave to an account. */
export type TokenDelivery = {
	readonly account: string;
	readonly vm: string;
	readonly atMs: number;
	readonly tokens: number;
	/** False if the VM may be cut off, so that others cannot know of them. */
	readonly isReported: boolean;
};

/** Tokens that accounts were given in one minute, summed up by account, VM and time. */
export type DeliveryRecord = {
	/** Adds a delivery that is no earlier than the last one. */
	add(delivery: TokenDelivery): void;
	/** Tokens up to a time, by all VMs or all but one. */
	deliveredTokens(account: string, untilMs: number, exceptVm?: string): number;
	/** Like `delivered`, without what others cannot know of. */
	reportedTokens(account: string, untilMs: number, exceptVm: string): number;
	/** Marks what a VM delivered since a time as unknown to others. */
	markUnreported(vm: string, sinceMs: number): void;
	clear(): void;
};

type TimeBucket = {
	readonly atMs: number;
	/** Tokens of this slot and all earlier ones. */
	cumulativeTokens: number;
	reportedTokens: number;
};

/** Creates an empty record. */
export function createDeliveryRecord(): DeliveryRecord {
	const accounts = new Map<string, Map<string, TimeBucket[]>>();

	const slotsOf = (account: string, vm: string) => {
		let vms = accounts.get(account);
		if (!vms) {
			vms = new Map();
			accounts.set(account, vms);
		}

		let slots = vms.get(vm);
		if (!slots) {
			slots = [];
			vms.set(vm, slots);
		}

		return slots;
	};

	const sum = (
		account: string,
		exceptVm: string | undefined,
		tokensOf: (slots: readonly TimeBucket[]) => number,
	) => {
		let tokens = 0;
		for (const [vm, slots] of accounts.get(account) ?? []) {
			tokens += vm === exceptVm ? 0 : tokensOf(slots);
		}

		return tokens;
	};

	return {
		add({account, vm, atMs, tokens, isReported}) {
			const slots = slotsOf(account, vm);
			let slot = slots.at(-1);
			if (slot?.atMs !== atMs) {
				const cumulativeTokens = slot?.cumulativeTokens ?? 0;
				slot = {atMs, cumulativeTokens, reportedTokens: 0};
				slots.push(slot);
			}

			slot.cumulativeTokens += tokens;
			slot.reportedTokens += isReported ? tokens : 0;
		},
		// Queries are about the last seconds, so the search begins at the end.
		deliveredTokens: (account, untilMs, exceptVm) =>
			sum(
				account,
				exceptVm,
				(slots) =>
					slots.findLast(({atMs}) => atMs <= untilMs)?.cumulativeTokens ?? 0,
			),
		reportedTokens: (account, untilMs, exceptVm) =>
			sum(account, exceptVm, (slots) => {
				let tokens = 0;
				for (const {atMs, reportedTokens} of slots) {
					tokens += atMs <= untilMs ? reportedTokens : 0;
				}

				return tokens;
			}),
		markUnreported(vm, sinceMs) {
			for (const vms of accounts.values()) {
				for (const slot of vms.get(vm) ?? []) {
					slot.reportedTokens = slot.atMs >= sinceMs ? 0 : slot.reportedTokens;
				}
			}
		},
		clear() {
			accounts.clear();
		},
	};
}
