/** Limits and timeouts of the relay of one daemon. */
export type RelayLimits = {
	/** A connection has stalled after this multiple of its stream's mean time between tokens. */
	readonly stallFactor: number;
	/** Shortest silence that counts as a stall, in milliseconds. */
	readonly stallMinMs: number;
	/**
	 * Silence after the first token after which a connection counts as stalled regardless of its mean, in
	 * milliseconds.
	 */
	readonly stallMaxMs: number;
	/** Silence before the first token after which the connection is opened again, in milliseconds. */
	readonly firstTokenStallMs: number;
	/** Silence over all connections after which the generation counts as lost, in milliseconds. */
	readonly silenceLostMs: number;
	/** Consecutive failures of connections that are tolerated; one more and the generation counts as lost. */
	readonly maxReopens: number;
	/**
	 * Upper bound of the first backoff delay before a failed connection or placement is retried, in
	 * milliseconds.
	 */
	readonly backoffBaseMs: number;
	/** Upper bound of every such delay, in milliseconds. */
	readonly backoffMaxMs: number;
	/** Generations that may be started for one request. */
	readonly maxAttempts: number;
	/** Time for which a replacement of a lost generation is retried, in milliseconds. */
	readonly restartWindowMs: number;
	/** Interval of keep-alive comments to a waiting caller, in milliseconds. */
	readonly keepAliveMs: number;
	/** Memory for the held-back tokens of one stream, in bytes. */
	readonly maxStreamBufferBytes: number;
	/** Memory for the held-back tokens of all streams, in bytes. */
	readonly maxDaemonBufferBytes: number;
	/** Time between two tokens beyond which the excess counts as stall time, in milliseconds. */
	readonly stallTimeThresholdMs: number;
};

/** Limits used unless the settings override them. */
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
