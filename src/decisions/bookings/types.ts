import type {
	Clock,
	InvariantMonitor,
	ObjectStore,
	PlainService,
	RandomSource,
	ServiceResponse,
	ServiceCall,
	TableService,
	Timers,
} from '../../common/index.js';
import type {BookingPeers} from './booking-peers.js';

/**
 * State of a booking's record: `started` from its creation until the outcome is written, `done` with an
 * answer, `not-run` if the call never reached the target, `unknown` if it may have. Only `done` and
 * `not-run` are final.
 */
export type BookingState = 'started' | 'done' | 'not-run' | 'unknown';

/**
 * Record of a booking, a call that must take effect at most once. There is one for each client account
 * and idempotency key.
 */
export type BookingRecord = {
	readonly state: BookingState;
	/** Incarnation of the entry process that created the record; only this process calls the target. */
	readonly owner: string;
	/** `address:port` at which the owner accepts requests of peers. */
	readonly ownerAddress: string;
	/** Unique for each attempt to create the record. */
	readonly attemptId: string;
	readonly bodyHash: string;
	readonly service: string;
	/** The target that the owner calls; only this one knows the outcome. */
	readonly targetId: string;
	readonly startedWallMs: number;
	readonly answer?: ServiceResponse;
	/** Name of the object with an answer that is too large for a row. */
	readonly answerObject?: string;
};

/** A booking as requested by a caller. */
export type BookingCall = {
	readonly account: string;
	/** UUID version 7 in lower case. */
	readonly key: string;
	readonly bodyHash: string;
	readonly service: string;
	readonly request: Pick<
		ServiceCall,
		'method' | 'path' | 'body' | 'contentType'
	>;
	/** Time until the caller gets a problem if the outcome is not known, in milliseconds. */
	readonly timeoutMs: number;
};

/**
 * Limits of one {@link BookingOptions}. An entry VM applies them twice: to its coordinator and to its
 * background settler, which have a queue of writes each.
 */
export type BookingLimits = {
	/** Shortest time between two transactions, in milliseconds. */
	readonly commitSpacingMs: number;
	/** Most records written in one transaction. */
	readonly maxBatchWrites: number;
	/** Most records that wait for a transaction. */
	readonly maxQueuedWrites: number;
	/** Most bookings that are open on this VM, including those whose record is not written yet. */
	readonly maxOpen: number;
	/**
	 * Most background jobs of each kind: marking records of given-up bookings, and settling records with
	 * an unknown outcome.
	 */
	readonly maxClosing: number;
	/** Most final outcomes cached in memory. */
	readonly maxRemembered: number;
	/** Time after which a claim that cannot be confirmed is given up, in milliseconds. */
	readonly claimTimeoutMs: number;
	/** Time for which an answer is held back until it is recorded, in milliseconds. */
	readonly recordWaitMs: number;
	/** Time after which the call to the target is given up, in milliseconds. */
	readonly targetTimeoutMs: number;
	/** Largest answer stored in a row, in bytes; a larger one is stored in the object store. */
	readonly maxRowAnswerBytes: number;
	/** Longest delay between attempts to write a record, in milliseconds. */
	readonly maxBackoffMs: number;
};

/** Defaults of the limits. */
export const defaultBookingLimits: BookingLimits = {
	// At most 50 transactions per second from the coordinator of each VM; the table service can take this
	// from 8 VMs.
	commitSpacingMs: 20,
	maxBatchWrites: 64,
	maxQueuedWrites: 2000,
	maxOpen: 2000,
	maxClosing: 1000,
	maxRemembered: 5000,
	claimTimeoutMs: 3000,
	recordWaitMs: 1000,
	targetTimeoutMs: 120_000,
	maxRowAnswerBytes: 16_384,
	maxBackoffMs: 5000,
};

/** A safety check that tests can omit, to prove that the randomized runs detect its absence. */
export type BookingCheck =
	| 'attempt-id'
	| 'single-send'
	| 'give-up-uncertain-claim'
	| 'give-up-before-send'
	| 'absence-is-no-proof'
	| 'row-version'
	| 'body-hash'
	| 'horizon'
	| 'read-before-not-run';

/** Events that are counted, as values of a label of the metric `bookings`. */
export type BookingEventName =
	| 'opened'
	| 'joined'
	| 'remembered'
	| 'claimed'
	| 'claim-uncertain'
	| 'recorded'
	| 'delivered-unrecorded'
	| 'found-recorded'
	| 'closed-not-run'
	| 'owner-asked'
	| 'settled'
	| 'corrupt-row'
	| 'answer-object'
	| 'overloaded'
	| 'record-retried';

/** Options of a booking coordinator or a background settler. */
export type BookingOptions = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	/** Client for the other entry VMs. */
	readonly peers: BookingPeers;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Incarnation of this entry process. */
	readonly incarnation: string;
	/** `address:port` at which this entry VM accepts requests of peers. */
	readonly ownerAddress: () => string;
	readonly createAttemptId: () => string;
	/**
	 * Chooses a target of a service.
	 * @throws ProblemError `not-run` or `unknown-service`
	 */
	readonly chooseTarget: (service: string) => PlainService;
	/** Returns a target by id, undefined if it is not configured any more. */
	readonly findTarget: (targetId: string) => PlainService | undefined;
	readonly limits: BookingLimits;
	readonly invariants: InvariantMonitor;
	/** Increments the counter of an event. */
	readonly count: (name: BookingEventName) => void;
	/** Omitted checks; for tests only. */
	readonly omittedChecks?: ReadonlySet<BookingCheck>;
};
