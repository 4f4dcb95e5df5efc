import type {Clock} from '../../common/index.js';
import {
	type Beacon,
	encodeFleetMessage,
	type Heartbeat,
	type MemberList,
	type MemberInfo,
	type TableSyncState,
} from '../../decisions/fleet/index.js';
import type {RunRegistry, RunState} from '../../decisions/scheduling/index.js';

/** Receives how far a VM is with the tables. */
export type MarksListener = (
	from: string,
	configuration: TableSyncState,
	targets: TableSyncState,
) => void;

/** What the exchange about members works with. */
export type MembershipProtocolOptions = {
	readonly clock: Clock;
	readonly address: string;
	/** Addresses at which VMs are looked for that have not been heard. */
	readonly seeds: readonly string[];
	readonly members: MemberList;
	readonly book: RunRegistry;
	/** Runs of this VM. */
	readonly runs: () => readonly RunState[];
	readonly ownMark: () => MemberInfo;
	readonly configurationMark: () => TableSyncState;
	readonly targetsMark: () => TableSyncState;
	/** A VM told how far it is with the tables. */
	readonly onMarks: MarksListener;
	readonly sendText: (to: string, text: string) => void;
	readonly sendToAll: (text: string) => void;
};

/** Heartbeats to the VMs that keep the account of all runs, and beacons of the coordinator to all. */
export type MembershipProtocol = {
	sendHeartbeat(): void;
	broadcastBeacon(): void;
	/** Tells one VM who the members are. */
	sendBeacon(to: string): void;
	handleHeartbeat(from: string, message: Heartbeat): void;
	handleBeacon(from: string, message: Beacon): void;
	/** Forgets VMs that are not heard any more. */
	sweep(): void;
};

/** Interval at which one VM is told that another one coordinates, in milliseconds. */
const redirectIntervalMs = 300;
const listedMembers = 8;

/** Creates an exchange that has told nothing. */
export function createMembershipProtocol(
	options: MembershipProtocolOptions,
): MembershipProtocol {
	const {clock, address, members, book, ownMark, seeds} = options;
	const newestSequence = new Map<string, string>();
	const redirectedMs = new Map<string, number>();
	let sequence = 0;

	const beacon = (): Beacon => {
		sequence++;
		return {
			kind: 'beacon',
			sender: ownMark(),
			sequence,
			vmCount: members.vmCount,
			members: members
				.rankedMembers()
				.slice(0, listedMembers)
				.filter((member) => member.address !== address)
				.map((member) => [member, members.silentMs(member.address)] as const),
			configuration: options.configurationMark(),
			targets: options.targetsMark(),
		};
	};

	const broadcastBeacon = () => {
		options.sendToAll(encodeFleetMessage(beacon()));
	};

	const sendHeartbeat = () => {
		sequence++;
		const message: Heartbeat = {
			kind: 'heartbeat',
			sender: ownMark(),
			sequence,
			configuration: options.configurationMark(),
			targets: options.targetsMark(),
			runs: options.runs(),
		};
		book.replaceRuns(address, message.runs);
		const known = new Set(members.peerAddresses());
		const to = members
			.coordinatorAndStandby()
			.map((member) => member.address)
			.filter((one) => one !== address);
		// Seeds that are not heard may be back, or belong to another group of VMs.
		const isSearching = members.coordinator.address === address;
		const unheard = isSearching ? seeds.filter((seed) => !known.has(seed)) : [];
		const text = encodeFleetMessage(message);
		for (const one of [...to, ...unheard]) {
			options.sendText(one, text);
		}
	};

	const sendBeacon = (to: string) => {
		options.sendText(to, encodeFleetMessage(beacon()));
	};

	/** Tells a VM whom to turn to. */
	const redirect = (to: string) => {
		const nowMs = clock.nowMs();
		if (nowMs - (redirectedMs.get(to) ?? -Infinity) >= redirectIntervalMs) {
			redirectedMs.set(to, nowMs);
			sendBeacon(to);
		}
	};

	const isNew = (from: string, {instanceId}: MemberInfo, number: number) => {
		const [knownInstance, knownNumber] =
			newestSequence.get(from)?.split(' ') ?? [];
		if (knownInstance === instanceId && Number(knownNumber) >= number) {
			return false;
		}

		newestSequence.set(from, `${instanceId} ${number}`);
		return true;
	};

	const areReadersLost = () =>
		members.haveReadersLostStore(ownMark().storeReadState);

	const handleHeartbeat = (from: string, message: Heartbeat) => {
		if (!isNew(from, message.sender, message.sequence)) {
			return;
		}

		const isKnown = members.silentMs(from) < Infinity;
		const wereLost = areReadersLost();
		members.recordSeen({...message.sender, address: from}, 0);
		book.replaceRuns(from, message.runs);
		options.onMarks(from, message.configuration, message.targets);
		const isAccountant = members
			.coordinatorAndStandby()
			.some((member) => member.address === address);
		if (!isKnown || !isAccountant) {
			redirect(from);
		}

		// Engines that leave give less notice than the time to the next beacon and to its effect.
		if (members.isCoordinator && !wereLost && areReadersLost()) {
			broadcastBeacon();
		}
	};

	const handleBeacon = (from: string, message: Beacon) => {
		if (!isNew(from, message.sender, message.sequence)) {
			return;
		}

		members.recordSeen({...message.sender, address: from}, 0);
		for (const [member, ageMs] of message.members) {
			members.recordSeen(member, ageMs);
		}

		members.recordVmCount(message.vmCount);
		options.onMarks(from, message.configuration, message.targets);
	};

	const sweep = () => {
		for (const [from] of newestSequence) {
			if (members.silentMs(from) === Infinity) {
				newestSequence.delete(from);
				redirectedMs.delete(from);
			}
		}
	};

	return {
		sendHeartbeat,
		broadcastBeacon,
		sendBeacon,
		handleHeartbeat,
		handleBeacon,
		sweep,
	};
}
