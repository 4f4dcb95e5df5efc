/** How a client account stands against its contract in the current minute. */
export type QuotaStatus = {
	/** True while the account has been given less than its floor. */
	readonly belowFloor: boolean;
	/** Tokens that the floor still guarantees in this minute. */
	readonly floorTokensLeft: number;
	/** Tokens until the ceiling, over all VMs as far as known. */
	readonly ceilingTokensLeft: number;
	/** Weight of the account's share of what is left above the floors. */
	readonly shareWeight: number;
};

/** Tokens set aside for one generation until its true length is known. */
export type TokenReservation = {
	readonly account: string;
	/** Estimate that is still set aside, in tokens. */
	readonly estimatedTokens: number;
};

/** Counts what client accounts use against their contracts. */
export type ContractLedger = {
	/** @param wallMs - wall-clock time in milliseconds; contracts count calendar minutes */
	quotaStatus(account: string, wallMs: number): QuotaStatus;
	/**
	 * Sets tokens aside for a generation.
	 * @throws ProblemError `rate-limited` with the time until the next minute if the ceiling is reached
	 */
	reserve(
		account: string,
		estimatedTokens: number,
		wallMs: number,
	): TokenReservation;
	/** Takes over a generation that another VM has reserved tokens for; what it produces is charged here. */
	adopt(account: string, wallMs: number): TokenReservation;
	/** Charges tokens as they are produced and takes them off the reservation. */
	charge(reservation: TokenReservation, tokens: number, wallMs: number): void;
	/** Gives back what is left of a reservation. */
	release(reservation: TokenReservation): void;
};

/** What one source (an entry VM, or a group of them) says of an account's use in a minute. */
export type UsageReport = {
	/** Calendar minute, `floor(wallMs / 60000)`. */
	readonly minute: number;
	/** Tokens produced in that minute. */
	readonly chargedTokens: number;
	/** Tokens that open generations are expected to add in that minute. */
	readonly reservedTokens: number;
	/** Recent production, in tokens per second. */
	readonly tokensPerSecond: number;
	/** Recent demand including what was refused, in tokens per second. */
	readonly demandPerSecond: number;
};

/** Use by all other VMs, as counted against the two limits of a contract. */
export type PeerUsageTotals = {
	/** Reported in this minute; silence adds nothing. */
	readonly reportedTokens: number;
	/** Reported, plus the last rate of every source since its report. */
	readonly estimatedTokens: number;
	readonly tokensPerSecond: number;
	readonly demandPerSecond: number;
};
