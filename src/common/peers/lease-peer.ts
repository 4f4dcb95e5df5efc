/** One run of an entry daemon that may hold leases. */
export type LeaseHolder = {
	/** Instance of the VM, as the VM list names it. */
	readonly vmInstanceId: string;
	/** Tells this run of the process from others on the same VM. */
	readonly incarnation: string;
	/**
	 * Sequence of a VM list in which the holder saw its own VM. Only a later list without the VM
	 * shows that it is gone; an earlier one may not show it yet.
	 */
	readonly listSequence: number;
};

/** Question to an earlier holder whether it has stopped. */
export type StopRequest = {
	readonly targetId: string;
	readonly holder: LeaseHolder;
	/** Fencing number of the lease's next holder. */
	readonly fencingNumber: number;
};

/**
 * `stopped` means that the holder sends nothing more and every copy it sent was answered; `gone` that
 * this run of the process has ended, though copies that it sent may still arrive.
 */
export type StopResponse = 'stopped' | 'busy' | 'gone';

/** Other entry VMs, asked about leases. Failures are `peer-unavailable`. */
export abstract class LeasePeers {
	/** Asks an earlier holder to stop and to say whether anything is in flight. */
	abstract confirmStop(question: StopRequest): Promise<StopResponse>;
}
