/** A row of the table service. */
export type Row = {
	readonly key: string;
	readonly value: string;
	/** Changes with every write of the row; 0 stands for an absent row. */
	readonly version: number;
};

/** Condition that a row has the given version; version 0 requires that the row is absent. */
export type RowCheck = {
	readonly key: string;
	readonly version: number;
};

/** Writes a value, or deletes the row if the value is undefined. */
export type RowWrite = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Writes that take effect atomically if every check holds. */
export type ConditionalWrite = {
	readonly checks: readonly RowCheck[];
	readonly writes: readonly RowWrite[];
};

/** Result of one conditional write. */
export type ConditionalResult =
	| {
			readonly committed: true;
			/** New version of every written row. */
			readonly version: number;
	  }
	| {
			readonly committed: false;
			/** Current state of the rows that the checks name. */
			readonly current: readonly Row[];
	  };

/** Paging options of a listing. */
export type ListOptions = {
	/** Largest number of rows to return. */
	readonly limit: number;
	/** Return only rows whose key is greater than this one. */
	readonly after?: string;
};

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** Role of a VM in the platform's list. */
export type VmRole = 'entry' | 'engine' | 'service';

/** An entry of the VM list. */
export type VmEntry = {
	/** Unique to the instance; a replacement VM has a new id. */
	readonly instanceId: string;
	readonly role: VmRole;
	/** Name of the target or entry VM that runs on this instance. */
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** `address:port`. */
	readonly address: string;
	readonly state: VmState;
};

/** The VM list at some time in the past. */
export type VmListSnapshot = {
	/** Increases with every new version of the list. */
	readonly sequence: number;
	readonly vms: readonly VmEntry[];
};
