import type {ServiceAnswer} from '../../common/index.js';

/** State of the record of a call that may not be repeated. */
export type BookingState = 'started' | 'done' | 'not-run' | 'unknown';

/** Record of a call that may not be repeated, one for each client account and key. */
export type BookingRecord = {
	readonly state: BookingState;
	/** Entry VM instance that alone may call the target. */
	readonly owner: string;
	/** Unique for each attempt to create the record. */
	readonly attemptId: string;
	readonly bodyHash: string;
	readonly service: string;
	readonly startedWallMs: number;
	readonly answer?: ServiceAnswer;
};

/** A call that may not be repeated, as a caller made it. */
export type BookingCall = {
	readonly account: string;
	readonly key: string;
	readonly bodyHash: string;
	readonly service: string;
};
