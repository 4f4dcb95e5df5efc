/** Whether a VM reads the platform's store: it does, it cannot, or it need not. */
export type StoreReadState = 'idle' | 'lost' | 'reading';

/** What a VM says of itself, or another of it. */
export type MemberInfo = {
	/** `address:port` for traffic between VMs. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Tells two lives of a VM apart. */
	readonly instanceId: string;
	/** Processor time that it has in a second, in milliseconds; strong VMs take duties first. */
	readonly cpuMsPerSecond: number;
	readonly storeReadState: StoreReadState;
};

/** How far a VM is with a table of the store, and how long ago that was confirmed. */
export type TableSyncState = {
	/** Version up to which every change is known. */
	readonly version: number;
	/** Version of the newest change that is known. */
	readonly changeVersion: number;
	/** Time since the store confirmed it, in milliseconds. */
	readonly ageMs: number;
};
