/** An engine that ended while a request with a certain prompt part ran there. */
export type PartCrash = {
	/** Identifies one incarnation of the engine. */
	readonly engine: string;
	/** Monotonic time at which the engine ended, in milliseconds. */
	readonly atMs: number;
	/** Monotonic time at which the latest of the requests with the part was sent to the engine, in milliseconds. */
	readonly sentMs: number;
	/** Most events that the engine had sent for a request with the part. */
	readonly eventCount: number;
};

/** A crash as told to another VM. */
export type PartCrashReport = {
	readonly engine: string;
	/** Time since the engine ended, in milliseconds. */
	readonly ageMs: number;
	/** Time since the latest request with the part was sent to the engine, in milliseconds. */
	readonly sentAgeMs: number;
	/** Most events that the engine had sent for a request with the part. */
	readonly eventCount: number;
};

/** What a VM knows of the crashes under one prompt part, as told to another VM. */
export type PartReport = {
	readonly partId: string;
	readonly crashes: readonly PartCrashReport[];
	/** Time since a request with the part had its whole response, in milliseconds; undefined if none is known. */
	readonly clearedAgeMs: number | undefined;
};

/** How this VM has learned of a crash or a whole response. */
export type EvidenceSource = 'own' | 'peer';

/** A change of the evidence about one prompt part. */
export type PartChange = {
	readonly partId: string;
	readonly cause: 'crash' | 'whole-response' | 'progress' | 'expiry';
	readonly source: EvidenceSource;
	/** Number of crashes now known. */
	readonly crashCount: number;
};

/** A prompt part of a request that was sent to an engine. */
export type SentPart = {
	readonly partId: string;
	/** Monotonic time at which the request was sent to the engine, in milliseconds. */
	readonly sentMs: number;
	/** Events that the engine had sent for the request. */
	readonly eventCount: number;
};

/** Whether a request with certain prompt parts may be sent to an engine. */
export type QuarantineDecision =
	| {readonly outcome: 'free'}
	/** The request is sent to find out whether engines still end under its parts. */
	| {readonly outcome: 'trial'; readonly partIds: readonly string[]}
	| {
			readonly outcome: 'held';
			/** The suspected parts of the request. */
			readonly partIds: readonly string[];
			/** Number of engines that are known to have ended under them. */
			readonly crashCount: number;
			/** Time after which the next request with these parts may be sent, in milliseconds. */
			readonly retryAfterMs: number;
	  };
