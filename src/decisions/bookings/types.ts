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

/** State of the record of a call that may not be repeated. */
export type BookingState = 'started' | 'done' | 'not-run' | 'unknown';

/** Record of a call that may not be repeated, one for each client account and key. */
export type BookingRecord = {
	readonly state: BookingState;
	/** Incarnation of the entry VM's process that alone may call the target. */
	readonly owner: string;
	/** `address:port` at which the owner answers peers. */
	readonly ownerAddress: string;
	/** Unique for each attempt to create the record. */
	readonly attemptId: string;
	readonly bodyHash: string;
	readonly service: string;
	/** The target that the owner calls, which alone can be asked for the outcome. */
	readonly targetId: string;
	readonly startedWallMs: number;
	readonly answer?: ServiceResponse;
	/** Object that holds an answer which is too large for a row. */
	readonly answerObject?: string;
};

/** A call that may not be repeated, as a caller made it. */
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
	/** Time that the caller waits for an answer, in milliseconds. */
	readonly timeoutMs: number;
};

/** Limits of the booking decisions. */
export type BookingLimits = {
	/** Shortest time between two transactions of one VM, in milliseconds. */
	readonly commitSpacingMs: number;
	/** Most records written in one transaction. */
	readonly maxBatchWrites: number;
	/** Most records that wait for a transaction. */
	readonly maxQueuedWrites: number;
	/** Most bookings that are open on this VM, including those whose record is not written yet. */
	readonly maxOpen: number;
	/** Most bookings that were given up and whose record is still to be closed. */
	readonly maxClosing: number;
	/** Most recorded answers kept in memory. */
	readonly maxRemembered: number;
	/** Time after which a claim that cannot be confirmed is given up, in milliseconds. */
	readonly claimTimeoutMs: number;
	/** Time for which an answer waits for its record before it is delivered, in milliseconds. */
	readonly recordWaitMs: number;
	/** Time after which the call to the target is given up, in milliseconds. */
	readonly targetTimeoutMs: number;
	/** Largest answer kept in a row, in bytes; a larger one goes to the object store. */
	readonly maxRowAnswerBytes: number;
	/** Longest delay between tries to write a record, in milliseconds. */
	readonly maxBackoffMs: number;
};

/** Limits that hold unless settings say otherwise. */
export const defaultBookingLimits: BookingLimits = {
	// Each of 8 VMs starts at most 50 transactions a second, which the table service can take.
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

/** A safety check that a test can leave out, to show that the randomized runs notice. */
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

/** Events that are counted. */
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

/** What the booking decisions need from their surroundings. */
export type BookingOptions = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly peers: BookingPeers;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Incarnation of this entry VM's process. */
	readonly incarnation: string;
	/** `address:port` at which this entry VM answers peers. */
	readonly ownerAddress: () => string;
	/** Returns a new unique id. */
	readonly createAttemptId: () => string;
	/** Chooses a target; throws `not-run` or `unknown-service`. */
	readonly chooseTarget: (service: string) => PlainService;
	readonly findTarget: (targetId: string) => PlainService | undefined;
	readonly limits: BookingLimits;
	readonly invariants: InvariantMonitor;
	readonly count: (name: BookingEventName) => void;
	/** Checks left out; for tests only. */
	readonly omittedChecks?: ReadonlySet<BookingCheck>;
};
