/** A client account's usage in the current minute, measured against its contract. */
export type QuotaStatus = {
	/** True while the account has received less than its floor. */
	readonly belowFloor: boolean;
	/** Tokens of the floor that are not yet used in this minute. */
	readonly floorTokensLeft: number;
	/** Tokens that the ceiling still allows in this minute, given the known usage of other VMs. */
	readonly ceilingTokensLeft: number;
	/** Weight of the account when capacity above the floors is shared. */
	readonly shareWeight: number;
};

/** Tokens reserved for one generation until its actual length is known. */
export type TokenReservation = {
	readonly account: string;
	/** Part of the estimate that is still reserved; it shrinks as tokens are charged. */
	readonly estimatedTokens: number;
};

/** Counts the usage of client accounts and enforces the limits of their contracts. */
export type ContractLedger = {
	/** @param wallMs - wall-clock time in milliseconds; contracts count calendar minutes */
	quotaStatus(account: string, wallMs: number): QuotaStatus;
	/**
	 * Reserves tokens for a generation.
	 * @throws ProblemError `rate-limited` with the time until the next minute if the ceiling is reached
	 */
	reserve(
		account: string,
		estimatedTokens: number,
		wallMs: number,
	): TokenReservation;
	/**
	 * Takes over a generation for which another VM has reserved tokens. Nothing is reserved here; the
	 * tokens that it produces from now on are charged here.
	 */
	adopt(account: string, wallMs: number): TokenReservation;
	/** Charges produced tokens and reduces the reservation by them. */
	charge(reservation: TokenReservation, tokens: number, wallMs: number): void;
	/** Releases the rest of a reservation; further calls do nothing. */
	release(reservation: TokenReservation): void;
};

/** Usage of a client account in one minute, as reported by one source: an entry VM or a group of them. */
export type UsageReport = {
	/** Calendar minute, `floor(wallMs / 60000)`. */
	readonly minute: number;
	/** Tokens produced in that minute. */
	readonly chargedTokens: number;
	/** Tokens that open generations are expected to add in that minute. */
	readonly reservedTokens: number;
	/** Recent production, in tokens per second. */
	readonly tokensPerSecond: number;
	/** Recent demand including refused requests, in tokens per second. */
	readonly demandPerSecond: number;
};

/** Usage of an account by other VMs, counted once for each of the two limits of a contract. */
export type PeerUsageTotals = {
	/** Tokens reported in this minute, which count towards the floor. */
	readonly reportedTokens: number;
	/**
	 * Estimate that counts towards the ceiling: tokens reported in this minute, plus for each source the
	 * larger of its reservations and its extrapolated output since the report.
	 */
	readonly estimatedTokens: number;
	readonly tokensPerSecond: number;
	readonly demandPerSecond: number;
};
