import {openDatagramSocket} from '../../adapters/front/index.js';
import {createDisposableStore, repeat, toProblem} from '../../common/index.js';
import {
	createMemberList,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
	type MemberInfo,
} from '../../decisions/fleet/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {startCoordinatorRegistry} from './coordinator-registry.js';
import type {
	FleetExchange,
	FleetExchangeOptions,
} from './fleet-exchange-types.js';
import {createCoordinatorRole} from './coordinator-role.js';
import {createCrashEvidenceExchange} from './crash-evidence-exchange.js';
import {createMembershipProtocol} from './membership-protocol.js';
import {createPauseDetector} from './pause-detector.js';
import {createPlacementHandler} from './placement-handler.js';
import {createRateLimitHandler} from './rate-limit-handler.js';
import {createRetryHandler} from './retry-handler.js';
import {createStoreRelay} from './store-relay.js';
import {startTargetHealthExchange} from './target-health-exchange.js';
import {createZoneDemandExchange} from './zone-demand-exchange.js';

/** Length to which instance ids are cut in messages; enough to distinguish restarts of one VM. */
const instanceIdLength = 8;
const heartbeatIntervalMs = 1000;
/** Interval of the heartbeats while no other VM is known, in milliseconds. */
const aloneIntervalMs = 250;

/** Opens the socket and starts to exchange messages with the other VMs. */
export function startFleetExchange(
	options: FleetExchangeOptions,
): FleetExchange {
	const {vm, clock, timers, logger} = options;
	const owned = createDisposableStore();
	const [port] = vm.peerPorts;
	const address = `${vm.ip}:${port}`;
	const socket = owned.add(openDatagramSocket(vm.ip, port));
	const ownInfo = (): MemberInfo => ({
		address,
		availabilityZone: vm.availabilityZone,
		instanceId: options.instanceId.slice(0, instanceIdLength),
		cpuMsPerSecond: vm.limits.cpuMsPerSecond,
		storeReadState: options.storeReadState(),
	});
	const members = createMemberList(clock, ownInfo());
	const seeds = vm.seedIps
		.map((ip) => `${ip}:${port}`)
		.filter((seed) => seed !== address);

	const sendToAll = (text: string) => {
		for (const to of members.peerAddresses()) {
			socket.send(to, text);
		}
	};

	const send = (to: string, message: FleetMessage) => {
		socket.send(to, encodeFleetMessage(message));
	};

	const coordinatorRole = createCoordinatorRole({
		clock,
		members,
		onGained() {
			membership.broadcastBeacon();
		},
		logger,
	});
	const pauseDetector = createPauseDetector(clock, (pausedMs) => {
		logger.warn('this VM did not run for a while', {pausedMs});
		members.handlePause();
	});
	const retryHandler = createRetryHandler({
		clock,
		timers,
		address,
		members,
		bounds: options.retryBounds,
		coordinatorSinceMs: coordinatorRole.sinceMs,
		resumedMs: () => pauseDetector.resumedMs,
		takeUnusedRetries: options.takeUnusedRetries,
		send,
	});
	const rateLimitHandler = owned.add(
		createRateLimitHandler({
			clock,
			timers,
			random: options.random,
			address,
			members,
			coordinatorSinceMs: coordinatorRole.sinceMs,
			table: options.rateLimits,
			limitOf: options.limitOf,
			send,
		}),
	);
	const {permitClient} = rateLimitHandler;
	const evidenceExchange = owned.add(
		createCrashEvidenceExchange({
			clock,
			timers,
			address,
			members,
			evidence: options.crashEvidence,
			send,
		}),
	);
	const targetHealthExchange = owned.add(
		startTargetHealthExchange({
			...options,
			address,
			members,
			observer: options.callObserver,
			send,
			onError: createUnexpectedErrorLog(logger),
		}),
	);
	const zoneDemandExchange = createZoneDemandExchange({
		...options.zoneCalls,
		clock,
		address,
		availabilityZone: vm.availabilityZone,
		members,
		send,
		sendToAll,
	});
	const placementHandler = owned.add(
		createPlacementHandler({
			clock,
			timers,
			random: options.random,
			address,
			members,
			engines: options.engines,
			takeTurn: permitClient.takeTurn,
			send,
		}),
	);
	const {runRegistry, runReporter, placementClient} = placementHandler;
	const membership = createMembershipProtocol({
		...options,
		address,
		seeds,
		members,
		runRegistry,
		runs: () => runReporter.all(),
		ownInfo,
		onMemberArrived(from) {
			rateLimitHandler.sendTo(from);
			evidenceExchange.sendTo(from);
		},
		sendText: socket.send,
		sendToAll,
	});
	const relay = createStoreRelay({...options, sendToAll});

	const handle = (from: string, message: FleetMessage) => {
		switch (message.kind) {
			case 'heartbeat': {
				membership.handleHeartbeat(from, message);
				break;
			}

			case 'beacon': {
				membership.handleBeacon(from, message);
				break;
			}

			case 'run-update':
			case 'place':
			case 'placed':
			case 'cancel': {
				placementHandler.handle(from, message);
				break;
			}

			case 'retry':
			case 'retry-answer':
			case 'retry-credits': {
				retryHandler.handle(from, message);
				break;
			}

			case 'rate-limits':
			case 'permit':
			case 'permit-answer': {
				rateLimitHandler.handle(from, message);
				break;
			}

			case 'target-report':
			case 'avoided-targets': {
				targetHealthExchange.handle(from, message);
				break;
			}

			case 'crash-evidence': {
				evidenceExchange.handle(message);
				break;
			}

			case 'call-rates':
			case 'zone-demand': {
				zoneDemandExchange.handle(from, message);
				break;
			}
		}
	};

	socket.onDatagram(({from, text}) => {
		pauseDetector.check();
		try {
			const value: unknown = JSON.parse(text);
			if (Array.isArray(value)) {
				handle(from, decodeFleetMessage(value));
			} else {
				relay.handle(value);
			}
		} catch (error) {
			logger.warn('datagram refused', {
				from,
				detail: toProblem(error, 'peer-protocol').message,
			});
		}
	});
	socket.onError((error) => {
		logger.warn('peer socket failed', {detail: error.message});
	});

	const repeatUntilDisposed = (intervalMs: () => number, run: () => void) => {
		const onError = createUnexpectedErrorLog(logger);
		owned.add(repeat(timers, {intervalMs, run, onError}));
	};

	const isAlone = () => members.rankedMembers().length === 1;
	membership.sendHeartbeat();
	repeatUntilDisposed(
		() => (isAlone() ? aloneIntervalMs : heartbeatIntervalMs),
		() => {
			pauseDetector.check();
			membership.sendHeartbeat();
			coordinatorRole.update();
			runRegistry.removeExpired();
			membership.sweep();
			retryHandler.tick();
			rateLimitHandler.tick();
			evidenceExchange.tick();
			zoneDemandExchange.tick();
		},
	);
	repeatUntilDisposed(options.beaconIntervalMs, () => {
		if (members.isCoordinator) {
			membership.broadcastBeacon();
		}
	});
	owned.add(
		startCoordinatorRegistry({
			clock,
			timers,
			store: options.store,
			storeEra() {
				const {configuration, targets} = options.tableStates();
				return Math.max(configuration.revision.era, targets.revision.era);
			},
			vmName: vm.name,
			address,
			isCoordinator: () => members.isCoordinator,
			isAlone,
			onCoordinatorFound(found) {
				if (members.silentMs(found) === Infinity) {
					membership.sendBeacon(found);
				}
			},
			logger,
		}),
	);
	return {
		members,
		placementClient,
		retryClient: retryHandler.retryClient,
		permitClient,
		relay,
		runReporter,
		resumedMs() {
			pauseDetector.check();
			return pauseDetector.resumedMs;
		},
		announceStoreLost() {
			if (members.isStoreReader('lost')) {
				membership.sendHeartbeat();
				if (members.isCoordinator) {
					membership.broadcastBeacon();
				}
			}
		},
		broadcastSyncState() {
			if (members.isCoordinator) {
				membership.broadcastBeacon();
			}
		},
		dispose() {
			owned.dispose();
		},
	};
}
