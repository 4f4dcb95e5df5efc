/** An entry daemon process that may hold leases. */
export type LeaseHolder = {
	/** Instance id of the VM in the VM list. */
	readonly vmInstanceId: string;
	/** Identifies the process; distinguishes it from earlier and later ones on the same VM. */
	readonly incarnation: string;
	/**
	 * Sequence number of a VM list that contained the holder's VM. Only a later list without the VM
	 * proves that the VM is gone; an earlier one may have been made before the VM was added.
	 */
	readonly listSequence: number;
};

/** Asks the previous holder of a lease to stop sending to the target. */
export type StopRequest = {
	readonly targetId: string;
	readonly holder: LeaseHolder;
	/** Fencing number of the next lease on the target. */
	readonly fencingNumber: number;
};

/**
 * `stopped`: the holder sends nothing more, and every copy of an order that it sent was answered, or is
 * older than `lease.lateCopyMs`, so that it counts as lost.
 * `busy`: not yet stopped, for example because unanswered copies that it sent may still arrive; also the
 * response of a VM other than the holder's.
 * `gone`: the process has ended, but copies that it sent may still arrive at the target.
 */
export type StopResponse = 'stopped' | 'busy' | 'gone';

/** Client for lease requests to other entry VMs. Failures are `peer-unavailable`. */
export abstract class LeasePeers {
	/** Asks the previous holder to stop and to report whether orders that it sent are still in flight. */
	abstract confirmStop(request: StopRequest): Promise<StopResponse>;
}
