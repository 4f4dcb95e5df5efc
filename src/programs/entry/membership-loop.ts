import {LRUCache} from 'lru-cache';
import {
	createPeerClient,
	parseConfigurationChanges,
	type PeerClient,
} from '../../adapters/peers/index.js';
import type {Logger, Metrics} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
	type TargetActivity,
	toProblem,
	type VmList,
} from '../../common/index.js';
import {
	type ConfigurationFollower,
	effectiveSettings,
} from '../../decisions/configuration/index.js';
import type {SharedContractLedger} from '../../decisions/contracts/index.js';
import {
	createMemberNode,
	type MemberAddress,
	type MemberNode,
	type OutgoingMessage,
	packMessage,
	type PackedMessage,
	tickMs,
	unpackMessage,
} from '../../decisions/membership/index.js';
import type {FleetPosition} from '../../decisions/routing/index.js';
import type {EntrySettings} from './settings.js';

/** Dependencies and settings of `createMembershipLoop`. */
export type MembershipLoopOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly vmList: VmList;
	readonly follower: ConfigurationFollower;
	readonly isStopping: () => boolean;
	/** Called when a target starts or stops counting as leaving. */
	readonly onLeavingChanged: (targetId: string, leaving: boolean) => void;
};

/** Membership of a running daemon: exchanges messages with peers over the network. */
export type MembershipLoop = Disposable & {
	readonly ledger: SharedContractLedger;
	readonly activity: MemberNode['activity'];
	readonly leavingTargets: ReadonlySet<string>;
	/** True if there are peers, but none has responded recently. */
	readonly isIsolated: boolean;
	/** Position of this VM among the reachable entry VMs of its region, by name. */
	fleetPosition(): FleetPosition;
	/** Sets the source of this VM's own activity at targets, which is shared with peers. */
	setActivitySource(source: () => readonly TargetActivity[]): void;
	/** Records that a target has announced its leaving in a load report or a response. */
	recordTargetLeaving(targetId: string): void;
	/**
	 * Handles a message of a peer.
	 * @returns the response
	 * @throws ProblemError `peer-protocol` if the message is malformed
	 */
	handlePeerMessage(message: unknown): PackedMessage;
	/**
	 * Starts to read the VM list and to exchange messages with peers.
	 * @param peerPort - port on which the peer server of this VM listens
	 */
	start(peerPort: number): void;
};

// Several exchanges run at once, so that an unresponsive peer does not delay those with other peers.
const maxOpenPeerExchanges = 8;
const maxClients = 64;

/** Creates the loop; it sends nothing until it is started. */
export function createMembershipLoop(
	options: MembershipLoopOptions,
): MembershipLoop {
	const {settings, clock, metrics, logger, follower} = options;
	const disposables = createDisposableStore();
	const clients = new LRUCache<string, PeerClient>({max: maxClients});
	let activitySource: () => readonly TargetActivity[] = () => [];
	let openPeerExchanges = 0;
	let isCatchingUp = false;
	let wasIsolated = false;

	const self = {
		name: settings.name,
		address: `${settings.advertiseAddress}:${settings.peerPort}`,
		availabilityZone: settings.availabilityZone,
		region: settings.region,
	};
	const node = createMemberNode({
		self,
		incarnation: clock.wallMs(),
		random: options.random,
		nowMs: () => clock.nowMs(),
		wallMs: () => clock.wallMs(),
		configurationVersion: () => follower.current.version,
		stopping: options.isStopping,
		contractOf: (account) =>
			effectiveSettings(follower.current, account, '').contract,
		ownActivity: () => activitySource(),
	});
	const {membership} = node;

	const getClient = ({address}: MemberAddress): PeerClient => {
		let client = clients.get(address);
		if (!client) {
			client = createPeerClient({
				url: `http://${address}`,
				token: settings.peerToken,
				timeoutMs: settings.tableTimeoutMs,
			});
			clients.set(address, client);
		}

		return client;
	};

	const countFailure = (error: unknown) => {
		metrics.count('peer_errors', {
			type: toProblem(error, 'peer-unavailable').type,
		});
	};

	const send = async ({peer, message}: OutgoingMessage) => {
		openPeerExchanges++;
		try {
			const response = await getClient(peer).exchange.mutate(
				packMessage(message),
			);
			membership.handleResponse(unpackMessage(response), clock.nowMs());
			metrics.count('peer_exchanges');
		} catch (error) {
			membership.recordFailure(peer.name, clock.nowMs());
			countFailure(error);
		} finally {
			openPeerExchanges--;
		}
	};

	// Before the first read of the table service no changes are accepted from peers: a peer may be behind
	// the version that was in force on this VM before its restart.
	const catchUp = async (peer: MemberAddress) => {
		if (isCatchingUp || !follower.acceptsPeerChanges) {
			return;
		}

		isCatchingUp = true;
		try {
			const {version} = follower.current;
			const changes = await getClient(peer).configurationAfter.query({version});
			follower.offer(parseConfigurationChanges(changes), 'peer');
		} catch (error) {
			countFailure(error);
		} finally {
			isCatchingUp = false;
		}
	};

	const readVmList = async () => {
		try {
			const {vms} = await options.vmList.read();
			node.recordVmList(vms);
		} catch (error) {
			countFailure(error);
		}
	};

	const updateIsolation = () => {
		const isIsolated = !membership.connected(clock.nowMs());
		if (isIsolated !== wasIsolated) {
			wasIsolated = isIsolated;
			logger.warn(isIsolated ? 'no peer responds' : 'peers respond again');
		}
	};

	const tick = () => {
		updateIsolation();
		for (const outgoing of node.tick()) {
			if (openPeerExchanges < maxOpenPeerExchanges) {
				void send(outgoing);
			}
		}
	};

	const every = (intervalMs: number, run: () => void) => {
		const timer = setInterval(run, intervalMs);
		disposables.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	disposables.add(
		membership.onNewerConfiguration((peer) => {
			void catchUp(peer);
		}),
	);
	disposables.add(
		node.leavingTargets.onChange(({targetId, leaving}) => {
			logger.info(
				leaving ? 'target is leaving' : 'target is no longer leaving',
				{
					targetId,
				},
			);
			options.onLeavingChanged(targetId, leaving);
		}),
	);

	return {
		ledger: node.ledger,
		activity: node.activity,
		leavingTargets: node.leavingTargets.targetIds,
		get isIsolated() {
			return !membership.connected(clock.nowMs());
		},
		fleetPosition() {
			const names = [...membership.directory.members()]
				.filter(
					({name, region}) =>
						region === self.region &&
						membership.directory.stateOf(name, clock.nowMs()) !== 'silent',
				)
				.map(({name}) => name);
			return {
				vmCount: names.length + 1,
				rank: names.filter((name) => name < self.name).length,
			};
		},
		setActivitySource(source) {
			activitySource = source;
		},
		recordTargetLeaving(targetId) {
			node.leavingTargets.recordLeaving(targetId, clock.wallMs());
		},
		handlePeerMessage(message) {
			try {
				return packMessage(
					membership.handleRequest(unpackMessage(message), clock.nowMs()),
				);
			} catch (error) {
				metrics.count('peer_messages_refused', {type: toProblem(error).type});
				throw error;
			}
		},
		start(peerPort) {
			self.address = `${settings.advertiseAddress}:${peerPort}`;
			void readVmList();
			every(settings.pollIntervalMs, () => {
				void readVmList();
			});
			every(tickMs, tick);
		},
		dispose() {
			disposables.dispose();
		},
	};
}
