/** An entry VM as others address it. */
export type MemberAddress = {
	readonly name: string;
	/** `address:port` of the peer server. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly region: string;
};

/**
 * How a VM is heard of. `live`: its heartbeat advances; `suspect`: no advance for some seconds; `silent`:
 * none for so long that its target activity counts no more.
 */
export type MemberState = 'live' | 'suspect' | 'silent';

/** What an entry of the shared state is about. */
export type EntryKind = 'usage' | 'activity' | 'leaving';

/** How far an entry travels. */
export type Distance = 'group' | 'region' | 'fleet';

/**
 * One versioned value of the shared state. A higher incarnation wins, then a higher counter; entries are
 * never merged, so repeated and reordered delivery is harmless.
 */
export type SharedEntry = {
	/** Entry VM, `g:<group>` or `r:<region>` whose sum this is, or empty for marks of the whole fleet. */
	readonly scope: string;
	readonly kind: EntryKind;
	readonly key: string;
	readonly incarnation: number;
	readonly counter: number;
	readonly values: readonly number[];
};

/** Heartbeat of a VM: the counter advances while the process runs. */
export type Heartbeat = {
	readonly name: string;
	/** Start of the process; a restarted process has a higher one. */
	readonly incarnation: number;
	readonly counter: number;
};

/** Request and reply of an exchange between two entry VMs. */
export type MembershipMessage = {
	readonly from: Heartbeat;
	readonly configurationVersion: number;
	readonly stopping: boolean;
	/** Sent for a while after the start, since the VM list may lag. */
	readonly senderAddress?: MemberAddress;
	/** Heartbeats of others in the sender's group. */
	readonly heartbeats: readonly Heartbeat[];
	readonly entries: readonly SharedEntry[];
};

/** A message to send. */
export type OutgoingMessage = {
	readonly peer: MemberAddress;
	readonly message: MembershipMessage;
};
