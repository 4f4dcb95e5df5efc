/** Request of an entry VM to the owner of a record for the status of its attempt. */
export type BookingStatusRequest = {
	readonly account: string;
	readonly key: string;
	/** Incarnation of the owner, as in the record. */
	readonly owner: string;
	readonly attemptId: string;
	/** How long the owner may wait for the record to become final, in milliseconds. */
	readonly waitMs: number;
};

/**
 * Status of an attempt: `recorded` if the owner has finished it, so that the record has to be read
 * again, `not-run` if it was given up and never called the target, `running` if it is still open,
 * `other-process` if another process than the owner runs at the address.
 */
export type BookingStatus =
	'recorded' | 'not-run' | 'running' | 'other-process';

/** Client for the other entry VMs, which own records. */
export abstract class BookingPeers {
	/**
	 * Requests the status of an attempt from its owner.
	 * @param address - `address:port` from the record
	 * @throws ProblemError `peer-unavailable`
	 */
	abstract requestStatus(
		address: string,
		request: BookingStatusRequest,
	): Promise<BookingStatus>;
}
