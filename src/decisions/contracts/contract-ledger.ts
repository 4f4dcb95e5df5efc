import {type Contract, ProblemError} from '../../common/index.js';
import {minuteMs, minuteOf} from './constants.js';
import {createDecayingRate, type DecayingRate} from './decaying-rate.js';
import type {PeerUsage} from './peer-usage.js';
import type {
	QuotaStatus,
	ContractLedger,
	TokenReservation,
	UsageReport,
} from './types.js';

export type ContractLedgerOptions = {
	readonly contractOf: (account: string) => Contract;
	readonly peerUsage: PeerUsage;
	/** Number of known entry VMs of the fleet, including this one. */
	readonly vmCount: () => number;
	/** False while this VM has peers but receives messages from none of them. */
	readonly connected: () => boolean;
};

/** Ledger that also reports this VM's usage, so that its peers can count it. */
export type SharedContractLedger = ContractLedger & {
	/** This VM's usage in the current minute by client account; idle accounts are dropped. */
	ownReports(wallMs: number): ReadonlyMap<string, UsageReport>;
	/** Floor tokens of all accounts but one that are still unused in this minute. */
	unusedFloorTokens(exceptAccount: string, wallMs: number): number;
};

type AccountState = {
	/** Calendar minute that `chargedTokens` counts. */
	minute: number;
	chargedTokens: number;
	/** Sum of the open reservations. */
	reservedTokens: number;
	openCount: number;
	readonly production: DecayingRate;
	readonly demand: DecayingRate;
	/** Tokens that this VM had used when the current grant was made. */
	usedAtGrantTokens: number;
	/** Size of the current grant: tokens allowed on top of `usedAtGrantTokens`. */
	grantTokens: number;
	/** Wall-clock time of the current grant, in milliseconds. */
	grantedAtMs: number;
	/** Wall-clock time of the last request or token, in milliseconds. */
	usedAtMs: number;
};

type Reservation = TokenReservation & {
	estimatedTokens: number;
	released: boolean;
	readonly state: AccountState;
};

// Decay time of the rates: long enough to bridge pauses between requests, short enough that the VMs'
// shares follow demand within a minute.
const rateDecayMs = 15_000;

// A usage report reaches every VM of a group within this time; one grant covers one such period.
const grantPeriodMs = 4000;

// Highest output rate of one stream. Tokens of an estimate that cannot be produced at this rate before
// the minute ends do not count in this minute.
const maxStreamTokensPerSecond = 50;

// Accounts idle for longer are dropped, so that the map does not grow with every account name ever seen.
const idleTimeoutMs = 5 * minuteMs;

/** Creates a ledger in which no account has used any tokens. */
export function createContractLedger(
	options: ContractLedgerOptions,
): SharedContractLedger {
	const {contractOf, peerUsage} = options;
	const accounts = new Map<string, AccountState>();

	const stateOf = (account: string, wallMs: number): AccountState => {
		let state = accounts.get(account);
		if (!state) {
			state = {
				minute: minuteOf(wallMs),
				chargedTokens: 0,
				reservedTokens: 0,
				openCount: 0,
				production: createDecayingRate(rateDecayMs),
				demand: createDecayingRate(rateDecayMs),
				usedAtGrantTokens: 0,
				grantTokens: 0,
				grantedAtMs: Number.NEGATIVE_INFINITY,
				usedAtMs: wallMs,
			};
			accounts.set(account, state);
		}

		rollOver(state, wallMs);
		return state;
	};

	// If the wall clock jumps back, the ledger stays in the latest minute that it has reached.
	const rollOver = (state: AccountState, wallMs: number) => {
		const minute = minuteOf(wallMs);
		if (minute > state.minute) {
			state.minute = minute;
			state.chargedTokens = 0;
			state.grantedAtMs = Number.NEGATIVE_INFINITY;
		}
	};

	const reservedInMinute = (state: AccountState, wallMs: number) => {
		const leftMs = Math.max(0, (state.minute + 1) * minuteMs - wallMs);
		const producibleTokens =
			(state.openCount * maxStreamTokensPerSecond * leftMs) / 1000;
		return Math.min(state.reservedTokens, producibleTokens);
	};

	const ownUsedTokens = (state: AccountState, wallMs: number) =>
		state.chargedTokens + reservedInMinute(state, wallMs);

	/**
	 * This VM's fraction of the ceiling: its fraction of recent demand, but at least an even one. The
	 * fractions of all VMs add up to at most 2.
	 */
	const ceilingFractionOf = (
		state: AccountState,
		peerDemandPerSecond: number,
		wallMs: number,
	) => {
		const own = state.demand.perSecond(wallMs);
		const even = 1 / Math.max(1, options.vmCount());
		return own > 0 ? Math.max(even, own / (own + peerDemandPerSecond)) : even;
	};

	/** Tokens that the account may use through this VM in this minute, including those already used. */
	const allowance = (
		account: string,
		state: AccountState,
		wallMs: number,
	): number => {
		const {ceilingTokensPerMinute} = contractOf(account);
		const peers = peerUsage.sumUsage(account, wallMs);
		const share = ceilingFractionOf(state, peers.demandPerSecond, wallMs);
		if (!options.connected()) {
			return share * ceilingTokensPerMinute;
		}

		// The rest of the ceiling is granted in steps, each covering one reporting period. Without the pause
		// between grants, every VM would use all of it before it receives the reports of the others.
		if (
			wallMs - state.grantedAtMs >= grantPeriodMs ||
			wallMs < state.grantedAtMs
		) {
			state.grantedAtMs = wallMs;
			state.usedAtGrantTokens = ownUsedTokens(state, wallMs);
			const left =
				ceilingTokensPerMinute -
				peers.estimatedTokens -
				state.usedAtGrantTokens;
			state.grantTokens = share * Math.max(0, left);
		}

		return Math.min(
			state.usedAtGrantTokens + state.grantTokens,
			ceilingTokensPerMinute - peers.estimatedTokens,
		);
	};

	const createRateLimitError = (account: string, wallMs: number) =>
		new ProblemError(
			'rate-limited',
			`client account "${account}" has reached its ceiling for this minute`,
			{retryAfterMs: (minuteOf(wallMs) + 1) * minuteMs - wallMs},
		);

	const floorTokensLeftOf = (account: string, wallMs: number): number => {
		const state = accounts.get(account);
		if (state) {
			rollOver(state, wallMs);
		}

		const {reportedTokens} = peerUsage.sumUsage(account, wallMs);
		const used = (state?.chargedTokens ?? 0) + reportedTokens;
		return Math.max(0, contractOf(account).floorTokensPerMinute - used);
	};

	const openReservation = (
		account: string,
		estimatedTokens: number,
		state: AccountState,
	): Reservation => {
		state.reservedTokens += estimatedTokens;
		state.openCount++;
		return {account, estimatedTokens, released: false, state};
	};

	return {
		quotaStatus(account, wallMs): QuotaStatus {
			const state = stateOf(account, wallMs);
			const left = floorTokensLeftOf(account, wallMs);
			return {
				belowFloor: left > 0,
				floorTokensLeft: left,
				ceilingTokensLeft: Math.max(
					0,
					allowance(account, state, wallMs) - ownUsedTokens(state, wallMs),
				),
				shareWeight: contractOf(account).shareWeight,
			};
		},
		reserve(account, estimatedTokens, wallMs) {
			const state = stateOf(account, wallMs);
			state.usedAtMs = wallMs;
			state.demand.add(estimatedTokens, wallMs);
			const hasFloorLeft =
				floorTokensLeftOf(account, wallMs) > reservedInMinute(state, wallMs);
			if (
				!hasFloorLeft &&
				ownUsedTokens(state, wallMs) >= allowance(account, state, wallMs)
			) {
				throw createRateLimitError(account, wallMs);
			}

			return openReservation(account, estimatedTokens, state);
		},
		adopt: (account, wallMs) =>
			openReservation(account, 0, stateOf(account, wallMs)),
		charge(reservation, tokens, wallMs) {
			const {state} = reservation as Reservation;
			rollOver(state, wallMs);
			state.usedAtMs = wallMs;
			state.chargedTokens += tokens;
			state.production.add(tokens, wallMs);
			const chargedEstimateTokens = Math.min(
				tokens,
				reservation.estimatedTokens,
			);
			(reservation as Reservation).estimatedTokens -= chargedEstimateTokens;
			state.reservedTokens -= chargedEstimateTokens;
		},
		release(reservation) {
			const own = reservation as Reservation;
			if (own.released) {
				return;
			}

			own.released = true;
			own.state.openCount--;
			own.state.reservedTokens -= own.estimatedTokens;
			own.estimatedTokens = 0;
		},
		ownReports(wallMs) {
			const reports = new Map<string, UsageReport>();
			for (const [account, state] of accounts) {
				rollOver(state, wallMs);
				if (state.openCount === 0 && wallMs - state.usedAtMs > idleTimeoutMs) {
					accounts.delete(account);
					continue;
				}

				reports.set(account, {
					minute: state.minute,
					chargedTokens: state.chargedTokens,
					reservedTokens: reservedInMinute(state, wallMs),
					tokensPerSecond: state.production.perSecond(wallMs),
					demandPerSecond: state.demand.perSecond(wallMs),
				});
			}

			return reports;
		},
		unusedFloorTokens(exceptAccount, wallMs) {
			let tokens = 0;
			for (const account of accounts.keys()) {
				tokens +=
					account === exceptAccount ? 0 : floorTokensLeftOf(account, wallMs);
			}

			return tokens;
		},
	};
}
