import type {Clock} from '../../common/index.js';
import type {ContractLedger} from '../contracts/index.js';

export type FloorPolicyOptions = {
	readonly clock: Clock;
	readonly ledger: ContractLedger;
	/** Factor on the floor up to which an account counts as below it. */
	readonly floorSlack: number;
	/** Number of entry VMs among which the requests of the accounts are spread. */
	readonly turnCount: () => number;
	/** Expected output of an account's streams on this VM in the next minute, in tokens. */
	readonly nextMinuteTokens: (account: string) => number;
};

/** Determines which accounts need priority to reach their floor. */
export type FloorPolicy = {
	/** True if the account's running streams on this VM do not cover this VM's share of the floor. */
	hasFloorPriority(account: string, floorTokensPerMinute: number): boolean;
	/**
	 * True if the account has received less of its floor from the fleet than is due at this time of the
	 * minute.
	 */
	isBehindFloor(account: string, floorTokensPerMinute: number): boolean;
};

const minuteMs = 60_000;

// Fraction of the minute in which no account counts as behind: a few streams that start late would look
// like a missed floor.
const minElapsedFraction = 0.1;

// In the second half of a minute an account must have received what an even spread of its floor would give
// it this fraction of a minute later: a request that starts only once the account has fallen behind may
// end after the minute.
const lookAheadFromFraction = 0.5;
const lookAheadFraction = 0.25;

/** Fraction of the floor that is due after a fraction of the minute. */
function dueFraction(elapsedFraction: number): number {
	return elapsedFraction > lookAheadFromFraction
		? Math.min(1, elapsedFraction + lookAheadFraction)
		: elapsedFraction;
}

export function createFloorPolicy(options: FloorPolicyOptions): FloorPolicy {
	const {clock, ledger, floorSlack} = options;
	return {
		hasFloorPriority(account, floorTokensPerMinute) {
			if (floorTokensPerMinute <= 0) {
				return false;
			}

			const wallMs = clock.wallMs();
			const ownShare = floorSlack / options.turnCount();
			const coveredTokens = options.nextMinuteTokens(account);
			const remainingFraction = 1 - (wallMs % minuteMs) / minuteMs;
			const {floorTokensLeft} = ledger.quotaStatus(account, wallMs);
			return (
				floorTokensLeft * ownShare > coveredTokens * remainingFraction ||
				floorTokensPerMinute * ownShare > coveredTokens
			);
		},
		isBehindFloor(account, floorTokensPerMinute) {
			const wallMs = clock.wallMs();
			const elapsedFraction = (wallMs % minuteMs) / minuteMs;
			const {floorTokensLeft} = ledger.quotaStatus(account, wallMs);
			return (
				elapsedFraction > minElapsedFraction &&
				floorTokensPerMinute - floorTokensLeft <
					floorTokensPerMinute * dueFraction(elapsedFraction)
			);
		},
	};
}
