/** Limits of the relay of one daemon. */
export type RelayLimits = {
	/** A link is stalled after this multiple of the stream's own time between tokens. */
	readonly stallFactor: number;
	/** Shortest silence that counts as a stall, in milliseconds. */
	readonly stallMinMs: number;
	/** Silence after which a link counts as stalled in any case, in milliseconds. */
	readonly stallMaxMs: number;
	/** Silence before the first token after which the link is opened again, in milliseconds. */
	readonly firstTokenStallMs: number;
	/** Silence over all links after which the generation counts as lost, in milliseconds. */
	readonly silenceLostMs: number;
	/** Failed links in a row after which the generation counts as lost. */
	readonly maxReopens: number;
	/** First delay before a failed link or placement is tried again, in milliseconds. */
	readonly backoffBaseMs: number;
	/** Longest such delay, in milliseconds. */
	readonly backoffMaxMs: number;
	/** Generations that may be started for one request. */
	readonly maxAttempts: number;
	/** How long a lost generation waits for a new place, in milliseconds. */
	readonly restartWindowMs: number;
	/** Time between signs of life to a caller that waits, in milliseconds. */
	readonly keepAliveMs: number;
	/** Memory for the held-back tokens of one stream, in bytes. */
	readonly maxStreamBufferBytes: number;
	/** Memory for the held-back tokens of all streams, in bytes. */
	readonly maxDaemonBufferBytes: number;
	/** The part of a gap between tokens beyond this counts as stall time, in milliseconds. */
	readonly stallTimeThresholdMs: number;
};

/** Limits that hold unless the settings say otherwise. */
export const defaultRelayLimits: RelayLimits = {
	stallFactor: 10,
	stallMinMs: 500,
	stallMaxMs: 5000,
	firstTokenStallMs: 10_000,
	silenceLostMs: 120_000,
	maxReopens: 4,
	backoffBaseMs: 50,
	backoffMaxMs: 2000,
	maxAttempts: 6,
	restartWindowMs: 30_000,
	keepAliveMs: 10_000,
	maxStreamBufferBytes: 1_048_576,
	maxDaemonBufferBytes: 268_435_456,
	stallTimeThresholdMs: 250,
};
