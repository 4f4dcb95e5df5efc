import {type Contract, ProblemError} from '../../common/index.js';
import type {
	ContractLedger,
	TokenReservation,
} from '../../decisions/contracts/index.js';

type MinuteUsage = {minute: number; tokens: number};

const minuteMs = 60_000;

/**
 * Creates a contract ledger with exact token counts that all VMs of a run share. Unlike the ledger of
 * the daemons it has no delay between VMs and needs no estimates.
 */
export function createExactLedger(
	contractOf: (account: string) => Contract,
): ContractLedger {
	const usages = new Map<string, MinuteUsage>();

	const usageOf = (account: string, wallMs: number): MinuteUsage => {
		const minute = Math.floor(wallMs / minuteMs);
		let usage = usages.get(account);
		if (usage?.minute !== minute) {
			usage = {minute, tokens: 0};
			usages.set(account, usage);
		}

		return usage;
	};

	const quotaStatus: ContractLedger['quotaStatus'] = (account, wallMs) => {
		const contract = contractOf(account);
		const {tokens} = usageOf(account, wallMs);
		const floorTokensLeft = Math.max(0, contract.floorTokensPerMinute - tokens);
		return {
			belowFloor: floorTokensLeft > 0,
			floorTokensLeft,
			ceilingTokensLeft: Math.max(0, contract.ceilingTokensPerMinute - tokens),
			shareWeight: contract.shareWeight,
		};
	};

	return {
		quotaStatus,
		reserve(account, estimatedTokens, wallMs): TokenReservation {
			if (quotaStatus(account, wallMs).ceilingTokensLeft <= 0) {
				throw new ProblemError(
					'rate-limited',
					'the token ceiling of this minute is reached',
					{
						retryAfterMs: minuteMs - (wallMs % minuteMs),
					},
				);
			}

			return {account, estimatedTokens};
		},
		adopt: (account) => ({account, estimatedTokens: 0}),
		charge(reservation, tokens, wallMs) {
			usageOf(reservation.account, wallMs).tokens += tokens;
		},
		release() {
			// Reservations reserve no tokens, so there is nothing to release.
		},
	};
}
