import type {Clock} from '../../common/index.js';
import type {ContractLedger} from '../contracts/index.js';

/** What the watch works with. */
export type FloorPolicyOptions = {
	readonly clock: Clock;
	readonly ledger: ContractLedger;
	/** Factor on the floor up to which an account counts as below it. */
	readonly floorSlack: number;
	/** Entry VMs among which the accounts' requests are spread. */
	readonly turnCount: () => number;
	/** Tokens that an account's streams on this VM should produce in the next minute. */
	readonly nextMinuteTokens: (account: string) => number;
};

/** Tells which accounts need help to reach their floor. */
export type FloorPolicy = {
	/** True if this VM's part of the floor is not covered by what it has running. */
	hasFloorPriority(account: string, floorTokensPerMinute: number): boolean;
	/** True if the whole fleet has given less of the floor than is due at this time of the minute. */
	isBehindFloor(account: string, floorTokensPerMinute: number): boolean;
};

const minuteMs = 60_000;

// Before, a late start of a few streams would look like a floor that is missed.
const minPassedPart = 0.1;

// In the second half of a minute an account has to be this part of the minute ahead of its floor's pace:
// a request that starts only when the account has fallen behind may end after the minute.
const lookAheadFromPart = 0.5;
const lookAheadPart = 0.25;

/** Part of the floor that is due when this part of the minute has passed. */
function duePart(passedPart: number): number {
	return passedPart > lookAheadFromPart
		? Math.min(1, passedPart + lookAheadPart)
		: passedPart;
}

/** Creates a watch. */
export function createFloorPolicy(options: FloorPolicyOptions): FloorPolicy {
	const {clock, ledger, floorSlack} = options;
	return {
		hasFloorPriority(account, floorTokensPerMinute) {
			if (floorTokensPerMinute <= 0) {
				return false;
			}

			const wallMs = clock.wallMs();
			const ownPart = floorSlack / options.turnCount();
			const covered = options.nextMinuteTokens(account);
			const minuteLeft = 1 - (wallMs % minuteMs) / minuteMs;
			const {floorTokensLeft} = ledger.quotaStatus(account, wallMs);
			return (
				floorTokensLeft * ownPart > covered * minuteLeft ||
				floorTokensPerMinute * ownPart > covered
			);
		},
		isBehindFloor(account, floorTokensPerMinute) {
			const wallMs = clock.wallMs();
			const passedPart = (wallMs % minuteMs) / minuteMs;
			const {floorTokensLeft} = ledger.quotaStatus(account, wallMs);
			return (
				passedPart > minPassedPart &&
				floorTokensPerMinute - floorTokensLeft <
					floorTokensPerMinute * duePart(passedPart)
			);
		},
	};
}
