import type {Clock} from '../../common/index.js';
import {
	type Beacon,
	encodeFleetMessage,
	type Heartbeat,
	type MemberList,
	type MemberInfo,
	type PeerTableStates,
} from '../../decisions/fleet/index.js';
import type {RunRegistry, RunState} from '../../decisions/scheduling/index.js';

/** Receives what another VM knows of the store's tables. */
export type PeerTableStatesListener = (
	from: string,
	states: PeerTableStates,
) => void;

export type MembershipProtocolOptions = {
	readonly clock: Clock;
	/** `address:port` of this VM for traffic between VMs. */
	readonly address: string;
	/** Addresses at which other VMs may be found; a coordinator sends its heartbeats also to unknown ones. */
	readonly seeds: readonly string[];
	readonly members: MemberList;
	readonly runRegistry: RunRegistry;
	/** Runs of this VM. */
	readonly runs: () => readonly RunState[];
	readonly ownInfo: () => MemberInfo;
	readonly tableStates: () => PeerTableStates;
	/** Called with the table states in each heartbeat or beacon of another VM. */
	readonly onPeerTableStates: PeerTableStatesListener;
	/** Called after the first heartbeat of a VM that this one did not know. */
	readonly onMemberArrived: (from: string) => void;
	readonly sendText: (to: string, text: string) => void;
	readonly sendToAll: (text: string) => void;
};

/**
 * Heartbeats with the runs of each VM to the coordinator and its standby, and beacons with the members
 * from the coordinator to all VMs.
 */
export type MembershipProtocol = {
	sendHeartbeat(): void;
	broadcastBeacon(): void;
	/** Sends the list of members to one VM. */
	sendBeacon(to: string): void;
	handleHeartbeat(from: string, message: Heartbeat): void;
	handleBeacon(from: string, message: Beacon): void;
	/** Removes the sequence numbers of VMs that are no longer members. */
	sweep(): void;
};

/** Shortest interval between two beacons in response to the heartbeats of one VM, in milliseconds. */
const minBeaconIntervalMs = 300;
/** Largest number of members listed in a beacon: those first in line for coordinator. */
const maxListedMembers = 8;

export function createMembershipProtocol(
	options: MembershipProtocolOptions,
): MembershipProtocol {
	const {clock, address, members, runRegistry, ownInfo, seeds} = options;
	/** Instance and sequence number of the newest message of each VM. */
	const newestSequences = new Map<string, string>();
	const lastBeaconMs = new Map<string, number>();
	let sequence = 0;

	const beacon = (): Beacon => {
		sequence++;
		return {
			kind: 'beacon',
			sender: ownInfo(),
			sequence,
			vmCount: members.vmCount,
			members: members
				.rankedMembers()
				.slice(0, maxListedMembers)
				.filter((member) => member.address !== address)
				.map((member) => [member, members.silentMs(member.address)] as const),
			...options.tableStates(),
		};
	};

	const broadcastBeacon = () => {
		options.sendToAll(encodeFleetMessage(beacon()));
	};

	const sendHeartbeat = () => {
		sequence++;
		const message: Heartbeat = {
			kind: 'heartbeat',
			sender: ownInfo(),
			sequence,
			...options.tableStates(),
			runs: options.runs(),
		};
		runRegistry.replaceRuns(address, message.runs);
		const knownAddresses = new Set(members.peerAddresses());
		const receivers = members
			.coordinatorAndStandby()
			.map((member) => member.address)
			.filter((receiver) => receiver !== address);
		// Unknown seeds may be back, or belong to another group of VMs.
		const contactsSeeds = members.coordinator.address === address;
		const unknownSeeds = contactsSeeds
			? seeds.filter((seed) => !knownAddresses.has(seed))
			: [];
		const text = encodeFleetMessage(message);
		for (const receiver of [...receivers, ...unknownSeeds]) {
			options.sendText(receiver, text);
		}
	};

	const sendBeacon = (to: string) => {
		options.sendText(to, encodeFleetMessage(beacon()));
	};

	/** Sends the list of members to a VM that is new, or that does not know its coordinator. */
	const sendBeaconRateLimited = (to: string) => {
		const nowMs = clock.nowMs();
		if (nowMs - (lastBeaconMs.get(to) ?? -Infinity) >= minBeaconIntervalMs) {
			lastBeaconMs.set(to, nowMs);
			sendBeacon(to);
		}
	};

	/** Filters duplicated and reordered datagrams; a restarted VM begins a new sequence. */
	const isNew = (
		from: string,
		{instanceId}: MemberInfo,
		sequenceNumber: number,
	) => {
		const [knownInstance, knownSequenceNumber] =
			newestSequences.get(from)?.split(' ') ?? [];
		if (
			knownInstance === instanceId &&
			Number(knownSequenceNumber) >= sequenceNumber
		) {
			return false;
		}

		newestSequences.set(from, `${instanceId} ${sequenceNumber}`);
		return true;
	};

	const haveReadersLostStore = () =>
		members.haveReadersLostStore(ownInfo().storeReadState);

	const handleHeartbeat = (from: string, message: Heartbeat) => {
		if (!isNew(from, message.sender, message.sequence)) {
			return;
		}

		const isKnown = members.silentMs(from) < Infinity;
		const wereLost = haveReadersLostStore();
		members.recordSeen({...message.sender, address: from}, 0);
		runRegistry.replaceRuns(from, message.runs);
		options.onPeerTableStates(from, message);
		const isCoordinatorOrStandby = members
			.coordinatorAndStandby()
			.some((member) => member.address === address);
		if (!isKnown || !isCoordinatorOrStandby) {
			sendBeaconRateLimited(from);
		}

		if (!isKnown) {
			options.onMemberArrived(from);
		}

		// Tells the VMs at once that the readers no longer report leaving engines, so that they poll them:
		// engines give less notice than the time until the next beacon is sent and takes effect.
		if (members.isCoordinator && !wereLost && haveReadersLostStore()) {
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
		options.onPeerTableStates(from, message);
	};

	const sweep = () => {
		for (const [from] of newestSequences) {
			if (members.silentMs(from) === Infinity) {
				newestSequences.delete(from);
				lastBeaconMs.delete(from);
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
