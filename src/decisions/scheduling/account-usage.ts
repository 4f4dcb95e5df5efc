import type {Clock} from '../../common/index.js';

/**
 * Use of a service's memory by an account, against its equal share: `below` it or equal, `above`, or `far above`.
 */
export type AccountStanding = 'above' | 'below' | 'far above';

/** Memory-time that each client account has used lately. Requests without an account count as one account, ''. */
export type AccountUsage = {
	/** Counts an account that asks among those that share the memory. */
	recordRequest(service: string, account: string): void;
	/**
	 * Brings the use up to now.
	 * @param heldTokens - memory that the runs of each account hold now; called only if an update is due
	 */
	update(service: string, heldTokens: () => ReadonlyMap<string, number>): void;
	standingOf(service: string, account: string): AccountStanding;
};

type Entry = {
	/** Decayed sum of memory-time, as the mean memory held, in tokens. */
	meanTokens: number;
	askedMs: number;
};

type ServiceEntry = {
	readonly accounts: Map<string, Entry>;
	updatedMs: number;
	equalShareTokens: number;
};

/** Time in which past memory-time counts half, in milliseconds. */
const halfLifeMs = 5000;
const updateIntervalMs = 100;
/** Time after its last request for which an account counts among those that share, in milliseconds. */
const askingMs = 3000;
/** Mean memory below which an account that does not ask is forgotten, in tokens. */
const leastTokens = 50;
/** Multiple of the equal share above which an account gives way to all others. */
const farAboveFactor = 2;

export function createAccountUsage(clock: Clock): AccountUsage {
	const services = new Map<string, ServiceEntry>();

	const serviceOf = (service: string) => {
		const found = services.get(service) ?? {
			accounts: new Map<string, Entry>(),
			updatedMs: -Infinity,
			equalShareTokens: 0,
		};
		services.set(service, found);
		return found;
	};

	const entryOf = (accounts: Map<string, Entry>, account: string) => {
		const found = accounts.get(account) ?? {meanTokens: 0, askedMs: -Infinity};
		accounts.set(account, found);
		return found;
	};

	/** Moves the means towards the memory held now; the first update takes it as it is. */
	const advance = (
		{accounts, updatedMs}: ServiceEntry,
		held: ReadonlyMap<string, number>,
	) => {
		for (const account of held.keys()) {
			entryOf(accounts, account);
		}

		const kept = 2 ** ((updatedMs - clock.nowMs()) / halfLifeMs);
		for (const [account, entry] of accounts) {
			const heldTokens = held.get(account) ?? 0;
			entry.meanTokens = heldTokens + (entry.meanTokens - heldTokens) * kept;
		}
	};

	const shareOut = (service: ServiceEntry) => {
		let total = 0;
		for (const [account, {meanTokens, askedMs}] of service.accounts) {
			const isAsking = clock.nowMs() - askedMs < askingMs;
			if (meanTokens < leastTokens && !isAsking) {
				service.accounts.delete(account);
			} else {
				total += meanTokens;
			}
		}

		service.equalShareTokens = total / Math.max(1, service.accounts.size);
	};

	return {
		recordRequest(service, account) {
			entryOf(serviceOf(service).accounts, account).askedMs = clock.nowMs();
		},
		update(service, heldTokens) {
			const found = serviceOf(service);
			if (clock.nowMs() - found.updatedMs < updateIntervalMs) {
				return;
			}

			advance(found, heldTokens());
			found.updatedMs = clock.nowMs();
			shareOut(found);
		},
		standingOf(service, account) {
			const found = services.get(service);
			const meanTokens = found?.accounts.get(account)?.meanTokens ?? 0;
			// The sum of the means is exact only up to rounding.
			const equalShareTokens = (found?.equalShareTokens ?? 0) * (1 + 1e-9);
			if (meanTokens <= equalShareTokens) {
				return 'below';
			}

			return meanTokens > farAboveFactor * equalShareTokens
				? 'far above'
				: 'above';
		},
	};
}
