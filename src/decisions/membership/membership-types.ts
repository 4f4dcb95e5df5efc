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

/** What the state machine reads from its surroundings. */
export type MembershipOptions = {
	readonly self: MemberAddress;
	/** Start of this process, higher than that of every earlier one on this VM. */
	readonly incarnation: number;
	readonly random: RandomSource;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	readonly rules?: MembershipRules;
};

/** Live peers and shared state of one entry VM, as a state machine without I/O. */
export type Membership = {
	readonly directory: MemberDirectory;
	readonly entries: EntryStore;
	readonly selector: PeerSelector;
	/** Fires for every entry of a peer that replaced an older one. */
	readonly onEntryAccepted: Event<SharedEntry>;
	/** Fires when a peer has a newer configuration. */
	readonly onNewerConfiguration: Event<MemberAddress>;
	/** Fires with the name of a VM that is gone for good, or whose earlier process is. */
	readonly onProcessEnded: Event<string>;
	recordVmList(vms: readonly VmEntry[], nowMs: number): void;
	/** Shares a value under this VM's own name. */
	publish(
		kind: SharedEntry['kind'],
		key: string,
		values: readonly number[],
	): void;
	/** Shares an entry that carries its own version: a sum or a mark. */
	publishEntry(entry: SharedEntry): boolean;
	/**
	 * Gives the messages that are due; call every `tickMs`.
	 * @param nowMs - monotonic time in milliseconds
	 */
	tick(nowMs: number): OutgoingMessage[];
	/**
	 * Takes a request of a peer.
	 * @returns the reply
	 * @throws ProblemError `peer-protocol` if it carries this VM's own name
	 */
	handleRequest(message: MembershipMessage, nowMs: number): MembershipMessage;
	/** Takes the reply to a request of this VM. */
	handleResponse(message: MembershipMessage, nowMs: number): void;
	recordFailure(peer: string, nowMs: number): void;
	/**
	 * 1 while an entry with these values would be passed on at once, more the longer the queue ahead of it.
	 * Those who share figures multiply their tolerances by it, so that large changes do not wait behind small
	 * ones.
	 */
	backlogFactor(kind: SharedEntry['kind'], values: readonly number[]): number;
	/** False while there are peers and none has answered for some seconds. */
	connected(nowMs: number): boolean;
};
