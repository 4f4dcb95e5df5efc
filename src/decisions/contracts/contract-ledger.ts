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

/** What the ledger reads from its surroundings. */
export type ContractLedgerOptions = {
	readonly contractOf: (account: string) => Contract;
	readonly peerUsage: PeerUsage;
	/** Entry VMs of the fleet as far as known, this one included. */
	readonly vmCount: () => number;
	/** False while this VM hears from no peer though there are some. */
	readonly connected: () => boolean;
};

/** Ledger with the figures that a VM reports to its peers. */
export type SharedContractLedger = ContractLedger & {
	/** This VM's own use of every account that it serves. */
	ownReports(wallMs: number): ReadonlyMap<string, UsageReport>;
	/** Tokens that unused floors of other accounts still claim in this minute. */
	unusedFloorTokens(exceptAccount: string, wallMs: number): number;
};

type AccountState = {
	minute: number;
	chargedTokens: number;
	/** Sum of the open reservations. */
	reservedTokens: number;
	openCount: number;
	readonly production: DecayingRate;
	readonly demand: DecayingRate;
	/** Own use when the current allowance was computed. */
	grantedFromTokens: number;
	grantTokens: number;
	grantedAtMs: number;
	/** Time of the last request or token, in wall-clock milliseconds. */
	usedAtMs: number;
};

type Reservation = TokenReservation & {
	estimatedTokens: number;
	released: boolean;
	readonly state: AccountState;
};

// Long enough to bridge a pause between requests, short enough that shares follow demand within a minute.
const rateDecayMs = 15_000;

// A report reaches every VM of a group within this time; an allowance covers one such period.
const grantMs = 4000;

// An engine produces no more than this for one stream, so a longer estimate falls into later minutes.
const streamTokensPerSecond = 50;

// Idle accounts are dropped, so that names that come and go do not accumulate.
const idleMs = 5 * minuteMs;

/** Creates a ledger without usage. */
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
				grantedFromTokens: 0,
				grantTokens: 0,
				grantedAtMs: Number.NEGATIVE_INFINITY,
				usedAtMs: wallMs,
			};
			accounts.set(account, state);
		}

		turn(state, wallMs);
		return state;
	};

	// A wall clock that jumps back stays in the minute that it had reached.
	const turn = (state: AccountState, wallMs: number) => {
		const minute = minuteOf(wallMs);
		if (minute > state.minute) {
			state.minute = minute;
			state.chargedTokens = 0;
			state.grantedAtMs = Number.NEGATIVE_INFINITY;
		}
	};

	const reservedInMinute = (state: AccountState, wallMs: number) => {
		const leftMs = Math.max(0, (state.minute + 1) * minuteMs - wallMs);
		const possible = (state.openCount * streamTokensPerSecond * leftMs) / 1000;
		return Math.min(state.reservedTokens, possible);
	};

	const ownTokens = (state: AccountState, wallMs: number) =>
		state.chargedTokens + reservedInMinute(state, wallMs);

	/** Share of the ceiling by recent demand, at least an even share; the shares of all VMs add up to at most 2. */
	const shareOf = (
		state: AccountState,
		othersDemand: number,
		wallMs: number,
	) => {
		const own = state.demand.perSecond(wallMs);
		const even = 1 / Math.max(1, options.vmCount());
		return own > 0 ? Math.max(even, own / (own + othersDemand)) : even;
	};

	/** Tokens that this VM may let the account use in this minute. */
	const allowance = (
		account: string,
		state: AccountState,
		wallMs: number,
	): number => {
		const {ceilingTokensPerMinute} = contractOf(account);
		const others = peerUsage.sumUsage(account, wallMs);
		const share = shareOf(state, others.demandPerSecond, wallMs);
		if (!options.connected()) {
			return share * ceilingTokensPerMinute;
		}

		// What is left is granted a share at a time: without the pause between grants every VM would take all
		// of it before hearing of the others.
		if (wallMs - state.grantedAtMs >= grantMs || wallMs < state.grantedAtMs) {
			state.grantedAtMs = wallMs;
			state.grantedFromTokens = ownTokens(state, wallMs);
			const left =
				ceilingTokensPerMinute -
				others.estimatedTokens -
				state.grantedFromTokens;
			state.grantTokens = share * Math.max(0, left);
		}

		return Math.min(
			state.grantedFromTokens + state.grantTokens,
			ceilingTokensPerMinute - others.estimatedTokens,
		);
	};

	const refuse = (account: string, wallMs: number) =>
		new ProblemError(
			'rate-limited',
			`client account "${account}" has reached its ceiling for this minute`,
			{retryAfterMs: (minuteOf(wallMs) + 1) * minuteMs - wallMs},
		);

	const floorLeft = (account: string, wallMs: number): number => {
		const state = accounts.get(account);
		if (state) {
			turn(state, wallMs);
		}

		const {reportedTokens} = peerUsage.sumUsage(account, wallMs);
		const used = (state?.chargedTokens ?? 0) + reportedTokens;
		return Math.max(0, contractOf(account).floorTokensPerMinute - used);
	};

	const open = (
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
			const left = floorLeft(account, wallMs);
			return {
				belowFloor: left > 0,
				floorTokensLeft: left,
				ceilingTokensLeft: Math.max(
					0,
					allowance(account, state, wallMs) - ownTokens(state, wallMs),
				),
				shareWeight: contractOf(account).shareWeight,
			};
		},
		reserve(account, estimatedTokens, wallMs) {
			const state = stateOf(account, wallMs);
			state.usedAtMs = wallMs;
			state.demand.add(estimatedTokens, wallMs);
			const floorOpen =
				floorLeft(account, wallMs) > reservedInMinute(state, wallMs);
			if (
				!floorOpen &&
				ownTokens(state, wallMs) >= allowance(account, state, wallMs)
			) {
				throw refuse(account, wallMs);
			}

			return open(account, estimatedTokens, state);
		},
		adopt: (account, wallMs) => open(account, 0, stateOf(account, wallMs)),
		charge(reservation, tokens, wallMs) {
			const {state} = reservation as Reservation;
			turn(state, wallMs);
			state.usedAtMs = wallMs;
			state.chargedTokens += tokens;
			state.production.add(tokens, wallMs);
			const taken = Math.min(tokens, reservation.estimatedTokens);
			(reservation as Reservation).estimatedTokens -= taken;
			state.reservedTokens -= taken;
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
				turn(state, wallMs);
				if (state.openCount === 0 && wallMs - state.usedAtMs > idleMs) {
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
				tokens += account === exceptAccount ? 0 : floorLeft(account, wallMs);
			}

			return tokens;
		},
	};
}
