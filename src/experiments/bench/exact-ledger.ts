import {type Contract, ProblemError} from '../../common/index.js';
import type {
	ContractLedger,
	TokenReservation,
} from '../../decisions/contracts/index.js';

type Usage = {minute: number; tokens: number};

const minuteMs = 60_000;

/** Creates a ledger that all VMs of a bench run share and that counts exactly. */
export function createExactLedger(
	contractOf: (account: string) => Contract,
): ContractLedger {
	const usages = new Map<string, Usage>();

	const usageOf = (account: string, wallMs: number): Usage => {
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
				throw new ProblemError('rate-limited', 'the ceiling is reached', {
					retryAfterMs: minuteMs - (wallMs % minuteMs),
				});
			}

			return {account, estimatedTokens};
		},
		adopt: (account) => ({account, estimatedTokens: 0}),
		charge(reservation, tokens, wallMs) {
			usageOf(reservation.account, wallMs).tokens += tokens;
		},
		release() {
			// Exact counts need no estimates, so nothing was set aside.
		},
	};
}
