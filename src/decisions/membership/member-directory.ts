import type {VmEntry} from '../../common/index.js';
import type {Heartbeat, MemberAddress, MemberState} from './types.js';

/** The entry VMs known to one VM, with their heartbeats and reachability. */
export type MemberDirectory = {
	/** Number of members; this VM itself is not one. */
	readonly size: number;
	/** Time of the latest successful request to any member, in monotonic milliseconds. */
	readonly lastSuccessAtMs: number;
	/**
	 * Adds VMs and updates addresses from the VM list. A VM that the list lacks is only removed once its
	 * heartbeats have stopped for a minute as well.
	 * @returns names of the VMs that were removed
	 */
	recordVmList(vms: readonly VmEntry[], nowMs: number): string[];
	/** Adds a VM that sent its address before the VM list shows it. */
	addUnlisted(address: MemberAddress, nowMs: number): void;
	/**
	 * Records a heartbeat.
	 * @param direct - true if the VM sent it itself rather than another VM on its behalf
	 * @returns false if it comes from an earlier process on the VM
	 */
	recordHeartbeat(
		heartbeat: Heartbeat,
		direct: boolean,
		nowMs: number,
	): boolean;
	/** Records that a request to a member succeeded. */
	recordSuccess(name: string, nowMs: number): void;
	/** Records that a request to a member failed. */
	recordFailure(name: string, nowMs: number): void;
	/** False for a VM that isn't a member, and for some seconds after a request to it failed. */
	mayContact(name: string, nowMs: number): boolean;
	stateOf(name: string, nowMs: number): MemberState;
	addressOf(name: string): MemberAddress | undefined;
	members(): Iterable<MemberAddress>;
	/** Newest heartbeat of a member; incarnation and counter are 0 before the first one. */
	heartbeatOf(name: string): Heartbeat | undefined;
};

type Member = {
	address: MemberAddress;
	isListed: boolean;
	incarnation: number;
	counter: number;
	/** Time of its latest heartbeat, message or response, or else of its addition, in monotonic milliseconds. */
	lastSeenAtMs: number;
	lastFailureAtMs: number;
};

// Fixed timeouts instead of a phi-accrual failure detector: heartbeats come at a fixed interval, a false
// suspicion costs only a few messages (no fencing and no takeover depends on it), and no history has to be kept
// for each peer.
const suspectAfterMs = 6000;
const silentAfterMs = 30_000;
const removeAfterMs = 60_000;
const backoffMs = 10_000;

function createMember(
	address: MemberAddress,
	isListed: boolean,
	nowMs: number,
): Member {
	return {
		address,
		isListed,
		incarnation: 0,
		counter: 0,
		lastSeenAtMs: nowMs,
		lastFailureAtMs: Number.NEGATIVE_INFINITY,
	};
}

/**
 * @param self - name of this VM, which is not a member
 * @param compareIncarnations - above 0 if the first incarnation is later than the second
 */
export function createMemberDirectory(
	self: string,
	compareIncarnations: (one: number, other: number) => number,
): MemberDirectory {
	const members = new Map<string, Member>();
	let lastSuccessAtMs = Number.NEGATIVE_INFINITY;

	return {
		get size() {
			return members.size;
		},
		get lastSuccessAtMs() {
			return lastSuccessAtMs;
		},
		recordVmList(vms, nowMs) {
			const listed = new Set<string>();
			for (const {role, name, address, availabilityZone, region} of vms) {
				if (role !== 'entry' || name === self) {
					continue;
				}

				listed.add(name);
				const known = members.get(name);
				const next = {name, address, availabilityZone, region};
				if (known) {
					known.address = next;
				} else {
					members.set(name, createMember(next, true, nowMs));
				}
			}

			const removed: string[] = [];
			for (const [name, member] of members) {
				member.isListed = listed.has(name);
				if (!member.isListed && nowMs - member.lastSeenAtMs > removeAfterMs) {
					members.delete(name);
					removed.push(name);
				}
			}

			return removed;
		},
		addUnlisted(address, nowMs) {
			if (address.name !== self && !members.has(address.name)) {
				members.set(address.name, createMember(address, false, nowMs));
			}
		},
		recordHeartbeat({name, incarnation, counter}, direct, nowMs) {
			const member = members.get(name);
			if (!member) {
				return true;
			}

			const order = compareIncarnations(incarnation, member.incarnation);
			if (order < 0) {
				return false;
			}

			const advanced = order > 0 || counter > member.counter;
			if (advanced) {
				member.counter = counter;
				member.incarnation = Math.max(member.incarnation, incarnation);
			}

			if (advanced || direct) {
				member.lastSeenAtMs = nowMs;
			}

			return true;
		},
		recordSuccess(name, nowMs) {
			lastSuccessAtMs = nowMs;
			const member = members.get(name);
			if (member) {
				member.lastSeenAtMs = nowMs;
				member.lastFailureAtMs = Number.NEGATIVE_INFINITY;
			}
		},
		recordFailure(name, nowMs) {
			const member = members.get(name);
			if (member) {
				member.lastFailureAtMs = nowMs;
			}
		},
		mayContact(name, nowMs) {
			const member = members.get(name);
			return member !== undefined && nowMs - member.lastFailureAtMs > backoffMs;
		},
		stateOf(name, nowMs) {
			const member = members.get(name);
			const silentMs = member
				? nowMs - member.lastSeenAtMs
				: Number.POSITIVE_INFINITY;
			if (silentMs <= suspectAfterMs) {
				return 'live';
			}

			return silentMs <= silentAfterMs ? 'suspect' : 'silent';
		},
		addressOf(name) {
			return members.get(name)?.address;
		},
		*members() {
			for (const {address} of members.values()) {
				yield address;
			}
		},
		heartbeatOf(name) {
			const member = members.get(name);
			return (
				member && {
					name,
					incarnation: member.incarnation,
					counter: member.counter,
				}
			);
		},
	};
}
