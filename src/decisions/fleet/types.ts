import type {StoreRevision} from '../../common/index.js';

/**
 * Whether a VM reads the platform's store. `reading`: it reads the store on behalf of all VMs; `idle`: it
 * does not have to; `lost`: its reads fail.
 */
export type StoreReadState = 'idle' | 'lost' | 'reading';

/** Identity and state of a VM, as announced by itself or relayed by another member. */
export type MemberInfo = {
	/** `address:port` for traffic between VMs. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Changes when the VM restarts; its address may stay the same. */
	readonly instanceId: string;
	/** CPU time that the VM has in each second, in milliseconds; members with more rank higher. */
	readonly cpuMsPerSecond: number;
	readonly storeReadState: StoreReadState;
};

/** How far a VM has followed a table of the store. */
export type TableSyncState = {
	/**
	 * Revision up to which the VM has every change. It also advances when the store confirms that nothing
	 * has changed.
	 */
	readonly revision: StoreRevision;
	/** Version of the newest change that the VM has, in the era of `revision`; at most its version. */
	readonly changeVersion: number;
	/** Time since the store confirmed this state, in milliseconds; Infinity if it never did. */
	readonly ageMs: number;
};

/** What a VM knows of the tables of the store. */
export type PeerTableStates = {
	readonly configuration: TableSyncState;
	readonly targets: TableSyncState;
	/** Operator's version of the configuration in force; 0 while there is none. */
	readonly operatorVersion: number;
};
