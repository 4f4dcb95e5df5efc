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

/** What the loop works with. */
export type MembershipLoopOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly vmList: VmList;
	readonly follower: ConfigurationFollower;
	readonly isStopping: () => boolean;
	readonly onLeavingChanged: (targetId: string, leaving: boolean) => void;
};

/** Membership of a running daemon. */
export type MembershipLoop = Disposable & {
	readonly ledger: SharedContractLedger;
	readonly activity: MemberNode['activity'];
	readonly leavingTargets: ReadonlySet<string>;
	/** True while no peer answers though there are some. */
	readonly isIsolated: boolean;
	/** This VM's place among the entry VMs of its region that are heard of. */
	fleetPosition(): FleetPosition;
	/** Sets where this VM's own activity at targets comes from. */
	setActivitySource(source: () => readonly TargetActivity[]): void;
	/** Takes a target's own sign, in a load report or an answer, that it is leaving. */
	recordTargetLeaving(targetId: string): void;
	/**
	 * Answers a peer's message.
	 * @throws ProblemError `peer-protocol` if it is malformed
	 */
	handlePeerMessage(message: unknown): PackedMessage;
	/**
	 * Begins to exchange messages.
	 * @param peerPort - port that this VM's peer server listens on
	 */
	start(peerPort: number): void;
};

// A peer that does not answer must not hold up the others.
const maxOpenExchanges = 8;
const maxClients = 64;

/** Creates the loop; it is silent until it is started. */
export function createMembershipLoop(
	options: MembershipLoopOptions,
): MembershipLoop {
	const {settings, clock, metrics, logger, follower} = options;
	const owned = createDisposableStore();
	const clients = new LRUCache<string, PeerClient>({max: maxClients});
	let activitySource: () => readonly TargetActivity[] = () => [];
	let openExchanges = 0;
	let catchingUp = false;
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

	const clientOf = ({address}: MemberAddress): PeerClient => {
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
		openExchanges++;
		try {
			const reply = await clientOf(peer).exchange.mutate(packMessage(message));
			membership.handleResponse(unpackMessage(reply), clock.nowMs());
			metrics.count('peer_exchanges');
		} catch (error) {
			membership.recordFailure(peer.name, clock.nowMs());
			countFailure(error);
		} finally {
			openExchanges--;
		}
	};

	// A peer may lag behind what this VM had in force before it started, so the table service comes first.
	const catchUp = async (peer: MemberAddress) => {
		if (catchingUp || !follower.acceptsPeerChanges) {
			return;
		}

		catchingUp = true;
		try {
			const {version} = follower.current;
			const changes = await clientOf(peer).configurationAfter.query({version});
			follower.offer(parseConfigurationChanges(changes), 'peer');
		} catch (error) {
			countFailure(error);
		} finally {
			catchingUp = false;
		}
	};

	const readList = async () => {
		try {
			const {vms} = await options.vmList.read();
			node.recordVmList(vms);
		} catch (error) {
			countFailure(error);
		}
	};

	const noteIsolation = () => {
		const isIsolated = !membership.connected(clock.nowMs());
		if (isIsolated !== wasIsolated) {
			wasIsolated = isIsolated;
			logger.warn(isIsolated ? 'no peer answers' : 'peers answer again');
		}
	};

	const tick = () => {
		noteIsolation();
		for (const outgoing of node.tick()) {
			if (openExchanges < maxOpenExchanges) {
				void send(outgoing);
			}
		}
	};

	const every = (intervalMs: number, run: () => void) => {
		const timer = setInterval(run, intervalMs);
		owned.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	owned.add(
		membership.onNewerConfiguration((peer) => {
			void catchUp(peer);
		}),
	);
	owned.add(
		node.leavingTargets.onChange(({targetId, leaving}) => {
			logger.info(leaving ? 'target is leaving' : 'target has returned', {
				targetId,
			});
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
			void readList();
			every(settings.pollIntervalMs, () => {
				void readList();
			});
			every(tickMs, tick);
		},
		dispose() {
			owned.dispose();
		},
	};
}
