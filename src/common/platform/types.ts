/** One row of the table service. */
export type Row = {
	readonly key: string;
	readonly value: string;
	/** Changes with every write of the row; 0 stands for an absent row. */
	readonly version: number;
};

/** Requires that a row has this version; 0 requires that it is absent. */
export type RowCheck = {
	readonly key: string;
	readonly version: number;
};

/** Puts a value, or deletes the row if the value is undefined. */
export type RowWrite = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Writes that take effect together if every check holds. */
export type ConditionalWrite = {
	readonly checks: readonly RowCheck[];
	readonly writes: readonly RowWrite[];
};

/** Result of one conditional write. */
export type ConditionalResult =
	| {
			readonly committed: true;
			/** Version that every written row has now. */
			readonly version: number;
	  }
	| {
			readonly committed: false;
			/** Rows named by the checks, as they are. */
			readonly current: readonly Row[];
	  };

/** Page of a listing. */
export type ListOptions = {
	/** Largest number of rows to return. */
	readonly limit: number;
	/** Return rows whose key is greater than this one. */
	readonly after?: string;
};

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** Role of a VM in the platform's list. */
export type VmRole = 'entry' | 'engine' | 'service';

/** Entry of the VM list. */
export type VmEntry = {
	/** Unique for each instance; a replaced VM has a new one. */
	readonly instanceId: string;
	readonly role: VmRole;
	/** Target or entry VM name that runs on the VM. */
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** `address:port`. */
	readonly address: string;
	readonly state: VmState;
};

/** The VM list as of some time in the past. */
export type VmListSnapshot = {
	/** Only grows. */
	readonly sequence: number;
	readonly vms: readonly VmEntry[];
};
