/** Identity and peer-server address of an entry VM. */
export type MemberAddress = {
	readonly name: string;
	/** `address:port` of the peer server. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly region: string;
};

/**
 * Failure-detector state of a VM. `live`: its heartbeat advanced or a message of it arrived recently; `suspect`:
 * neither for some seconds; `silent`: neither for so long that its target activity is no longer counted.
 */
export type MemberState = 'live' | 'suspect' | 'silent';

/**
 * Type of a shared entry: token usage of a client account, activity at a target, or a target that is
 * leaving.
 */
export type EntryKind = 'usage' | 'activity' | 'leaving';

/**
 * Distance between two entry VMs, nearest first: in the same group, in the same region, or anywhere in the
 * fleet. Every shared entry has a farthest distance to which it is propagated.
 */
export type Distance = 'group' | 'region' | 'fleet';

/**
 * One versioned value of the shared state. The entry with the higher incarnation wins, then the one with the
 * higher counter. Entries are replaced and never merged, so repeated or reordered delivery is harmless.
 */
export type SharedEntry = {
	/**
	 * Which VMs the values cover: the name of one entry VM, `g:<group>` or `r:<region>` for a sum, empty for
	 * `leaving` entries, which concern the whole fleet.
	 */
	readonly scope: string;
	readonly kind: EntryKind;
	/** Client account, target id, or target id and instance id, depending on the kind. */
	readonly key: string;
	/**
	 * First part of the version: that of the process for a VM's own values, the wall-clock time in seconds for
	 * usage sums, a number that rises with each activity sum, and for `leaving` entries 1 if the VM list reported
	 * the target and 0 if the target did.
	 */
	readonly incarnation: number;
	/** Second part of the version. In `leaving` entries it is the wall-clock time of the report, in milliseconds. */
	readonly counter: number;
	readonly values: readonly number[];
};

/** Heartbeat of a VM: the counter advances while the process runs. */
export type Heartbeat = {
	readonly name: string;
	/** Wall-clock start of the process in milliseconds; raised if an earlier process on the VM had a higher one. */
	readonly incarnation: number;
	readonly counter: number;
};

/** Request or response of an exchange between two entry VMs. */
export type MembershipMessage = {
	readonly from: Heartbeat;
	readonly configurationVersion: number;
	readonly stopping: boolean;
	/** Present for a while after the sender's start, since the receiver's VM list may lag. */
	readonly senderAddress?: MemberAddress;
	/** Heartbeats of other VMs in the sender's group. */
	readonly heartbeats: readonly Heartbeat[];
	readonly entries: readonly SharedEntry[];
};

/** A request that is due, with the peer that it goes to. */
export type OutgoingMessage = {
	readonly peer: MemberAddress;
	readonly message: MembershipMessage;
};
