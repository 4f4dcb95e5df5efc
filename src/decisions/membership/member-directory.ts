import type {VmEntry} from '../../common/index.js';
import type {Heartbeat, MemberAddress, MemberState} from './types.js';

/** The entry VMs that one VM knows. */
export type MemberDirectory = {
	readonly size: number;
	/** Latest time at which an exchange with any VM succeeded, in monotonic milliseconds. */
	readonly lastSuccessAtMs: number;
	/**
	 * Takes the VM list as a hint: it adds VMs and addresses, and lets silent ones be forgotten.
	 * @returns names of VMs that were forgotten
	 */
	recordVmList(vms: readonly VmEntry[], nowMs: number): string[];
	/** Adds a VM that made itself known before the VM list shows it. */
	addUnlisted(address: MemberAddress, nowMs: number): void;
	/**
	 * Takes a heartbeat.
	 * @param direct - true if the VM itself sent it
	 * @returns false if it comes from an earlier run of the process
	 */
	recordHeartbeat(
		heartbeat: Heartbeat,
		direct: boolean,
		nowMs: number,
	): boolean;
	/** Notes that an exchange that this VM began was answered. */
	recordSuccess(name: string, nowMs: number): void;
	recordFailure(name: string, nowMs: number): void;
	/** False for some seconds after an exchange failed. */
	mayContact(name: string, nowMs: number): boolean;
	stateOf(name: string, nowMs: number): MemberState;
	addressOf(name: string): MemberAddress | undefined;
	members(): Iterable<MemberAddress>;
	/** Newest heartbeat of a VM, if any. */
	heartbeatOf(name: string): Heartbeat | undefined;
};

type Member = {
	address: MemberAddress;
	listed: boolean;
	incarnation: number;
	beat: number;
	heardAtMs: number;
	failedAtMs: number;
};

/**
 * A fixed timeout rather than phi-accrual: heartbeats come at a fixed interval, a wrong suspicion costs only
 * a few messages (nothing is fenced or handed over on it), and there is no history to keep for each peer.
 */
const suspectAfterMs = 6000;
const silentAfterMs = 30_000;
const forgetAfterMs = 60_000;
const retryAfterMs = 10_000;

function createMember(
	address: MemberAddress,
	listed: boolean,
	nowMs: number,
): Member {
	return {
		address,
		listed,
		incarnation: 0,
		beat: 0,
		heardAtMs: nowMs,
		failedAtMs: Number.NEGATIVE_INFINITY,
	};
}

/**
 * Creates a directory without members.
 * @param self - name of this VM, which is not a member
 * @param compareRuns - above 0 if the first incarnation is later than the second
 */
export function createMemberDirectory(
	self: string,
	compareRuns: (one: number, other: number) => number,
): MemberDirectory {
	const members = new Map<string, Member>();
	let contactAtMs = Number.NEGATIVE_INFINITY;

	return {
		get size() {
			return members.size;
		},
		get lastSuccessAtMs() {
			return contactAtMs;
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

			const forgotten: string[] = [];
			for (const [name, member] of members) {
				member.listed = listed.has(name);
				if (!member.listed && nowMs - member.heardAtMs > forgetAfterMs) {
					members.delete(name);
					forgotten.push(name);
				}
			}

			return forgotten;
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

			const order = compareRuns(incarnation, member.incarnation);
			if (order < 0) {
				return false;
			}

			const advanced = order > 0 || counter > member.beat;
			if (advanced) {
				member.beat = counter;
				member.incarnation = Math.max(member.incarnation, incarnation);
			}

			if (advanced || direct) {
				member.heardAtMs = nowMs;
			}

			return true;
		},
		recordSuccess(name, nowMs) {
			contactAtMs = nowMs;
			const member = members.get(name);
			if (member) {
				member.heardAtMs = nowMs;
				member.failedAtMs = Number.NEGATIVE_INFINITY;
			}
		},
		recordFailure(name, nowMs) {
			const member = members.get(name);
			if (member) {
				member.failedAtMs = nowMs;
			}
		},
		mayContact(name, nowMs) {
			const member = members.get(name);
			return member !== undefined && nowMs - member.failedAtMs > retryAfterMs;
		},
		stateOf(name, nowMs) {
			const member = members.get(name);
			const silentMs = member
				? nowMs - member.heardAtMs
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
				member && {name, incarnation: member.incarnation, counter: member.beat}
			);
		},
	};
}
