import type {Event, RandomSource, VmEntry} from '../../common/index.js';
import type {EntryStore} from './entry-store.js';
import type {MemberDirectory} from './member-directory.js';
import type {MembershipRules} from './membership-rules.js';
import type {PeerSelector} from './peer-selector.js';
import type {
	MemberAddress,
	MembershipMessage,
	OutgoingMessage,
	SharedEntry,
} from './types.js';

/** Identity of the VM and inputs of its membership state machine. */
export type MembershipOptions = {
	readonly self: MemberAddress;
	/**
	 * Wall-clock start of this process, in milliseconds. It is raised if an earlier process on this VM turns out to
	 * have had a higher one.
	 */
	readonly incarnation: number;
	readonly random: RandomSource;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	readonly rules?: MembershipRules;
};

/** Gossip protocol of one entry VM as a state machine without I/O: peer liveness and shared entries. */
export type Membership = {
	readonly directory: MemberDirectory;
	readonly entries: EntryStore;
	readonly selector: PeerSelector;
	/** Fires for every entry received from a peer that was new or replaced an older one. */
	readonly onEntryAccepted: Event<SharedEntry>;
	/** Fires when a peer has a newer configuration. */
	readonly onNewerConfiguration: Event<MemberAddress>;
	/**
	 * Fires with the name of a VM whose process has ended: the VM was removed from the directory, or a later
	 * process runs on it. The entries of the ended process have been dropped.
	 */
	readonly onProcessEnded: Event<string>;
	/** Updates the directory and the peer groups from the platform's VM list. */
	recordVmList(vms: readonly VmEntry[], nowMs: number): void;
	/** Publishes values under this VM's own scope, with the next version. */
	publish(
		kind: SharedEntry['kind'],
		key: string,
		values: readonly number[],
	): void;
	/**
	 * Publishes an entry that carries its own version: a sum or a `leaving` entry.
	 * @returns false if the store has this version or a newer one
	 */
	publishEntry(entry: SharedEntry): boolean;
	/**
	 * Returns the requests that are due; call every `tickMs`.
	 * @param nowMs - monotonic time in milliseconds
	 */
	tick(nowMs: number): OutgoingMessage[];
	/**
	 * Processes a peer's request.
	 * @returns the response
	 * @throws ProblemError `peer-protocol` if the request carries this VM's own name
	 */
	handleRequest(message: MembershipMessage, nowMs: number): MembershipMessage;
	/** Processes the response to a request of this VM. */
	handleResponse(message: MembershipMessage, nowMs: number): void;
	/** Records that a request to a peer failed. */
	recordFailure(peer: string, nowMs: number): void;
	/**
	 * Length of the queue ahead of an entry with these values, relative to what is sent at once: 1 if the entry
	 * would be sent without delay, higher the more entries wait before it. Publishers multiply their tolerances
	 * by this factor, so that large changes don't wait behind small ones.
	 */
	backlogFactor(kind: SharedEntry['kind'], values: readonly number[]): number;
	/** False while there are peers but no request to any of them has succeeded for some seconds. */
	connected(nowMs: number): boolean;
};
