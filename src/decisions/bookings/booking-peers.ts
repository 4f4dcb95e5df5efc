/** Question of one entry VM to the owner of a record. */
export type BookingStatusRequest = {
	readonly account: string;
	readonly key: string;
	readonly owner: string;
	readonly attemptId: string;
	/** How long the owner may wait for the record to become final, in milliseconds. */
	readonly waitMs: number;
};

/**
 * What the owner says: `recorded` means that the record is final and can be read, `not-run` that
 * the attempt was given up and never called the target, `running` that it is not decided yet,
 * `other-process` that the owner's process no longer exists at its address.
 */
export type BookingStatus =
	'recorded' | 'not-run' | 'running' | 'other-process';

/** The owners of records, asked over the network. Failures are `peer-unavailable`. */
export abstract class BookingPeers {
	/** @param address - `address:port` from the record */
	abstract requestStatus(
		address: string,
		question: BookingStatusRequest,
	): Promise<BookingStatus>;
}
