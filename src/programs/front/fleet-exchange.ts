import {openDatagramSocket} from '../../adapters/front/index.js';
import {createDisposableStore, repeat, toProblem} from '../../common/index.js';
import {
	createMemberList,
	createRetryClient,
	createRetryPool,
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
import {createMembershipProtocol} from './membership-protocol.js';
import {createPauseDetector} from './pause-detector.js';
import {createPlacementHandler} from './placement-handler.js';
import {createStoreRelay} from './store-relay.js';

/** Identifiers are cut to what tells two lives of a VM apart. */
const instanceIdLength = 8;
const heartbeatIntervalMs = 1000;
/** The same until another VM is heard, in milliseconds. */
const searchIntervalMs = 250;

/** Starts the exchange and opens its socket. */
export function startFleetExchange(
	options: FleetExchangeOptions,
): FleetExchange {
	const {vm, clock, timers, logger} = options;
	const owned = createDisposableStore();
	const [port] = vm.peerPorts;
	const address = `${vm.ip}:${port}`;
	const socket = owned.add(openDatagramSocket(vm.ip, port));
	const ownMark = (): MemberInfo => ({
		address,
		availabilityZone: vm.availabilityZone,
		instanceId: options.instanceId.slice(0, instanceIdLength),
		cpuMsPerSecond: vm.limits.cpuMsPerSecond,
		storeReadState: options.reading(),
	});
	const members = createMemberList(clock, ownMark());
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

	let coordinatesSinceMs = Infinity;
	const retryPool = createRetryPool({
		clock,
		bounds: options.retryBounds,
		// After a pause this VM may be told of its duty's end only later.
		coordinatorSinceMs: () =>
			members.isCoordinator ? coordinatesSinceMs : Infinity,
	});
	const retryClient = createRetryClient({
		timers,
		ownAddress: address,
		members,
		pool: retryPool,
		send,
	});
	const desk = owned.add(
		createPlacementHandler({
			clock,
			timers,
			random: options.random,
			address,
			members,
			engines: options.engines,
			send,
		}),
	);
	const {book, runReporter: runReporter, placeClient} = desk;
	const exchange = createMembershipProtocol({
		...options,
		address,
		seeds,
		members,
		book,
		runs: () => runReporter.all(),
		ownMark,
		sendText: socket.send,
		sendToAll,
	});
	const relay = createStoreRelay({...options, sendToAll});

	const take = (from: string, message: FleetMessage) => {
		switch (message.kind) {
			case 'heartbeat': {
				exchange.handleHeartbeat(from, message);
				break;
			}

			case 'beacon': {
				exchange.handleBeacon(from, message);
				break;
			}

			case 'run-update':
			case 'place':
			case 'placed':
			case 'cancel': {
				desk.handle(from, message);
				break;
			}

			case 'retry': {
				const isGranted = retryPool.tryTake(message.service);
				send(from, {kind: 'retry-answer', id: message.id, isGranted});
				break;
			}

			case 'retry-answer': {
				retryClient.handleDecision(message.id, message.isGranted);
				break;
			}
		}
	};

	const pauses = createPauseDetector(clock, (pausedMs) => {
		logger.warn('this VM did not run for a while', {pausedMs});
		members.handlePause();
	});

	socket.onDatagram(({from, text}) => {
		pauses.check();
		try {
			const value: unknown = JSON.parse(text);
			if (Array.isArray(value)) {
				take(from, decodeFleetMessage(value));
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

	const keepDoing = (intervalMs: () => number, run: () => void) => {
		const onError = createUnexpectedErrorLog(logger);
		owned.add(repeat(timers, {intervalMs, run, onError}));
	};

	let wasCoordinator = false;
	const noticeDuty = () => {
		const {isCoordinator} = members;
		if (isCoordinator !== wasCoordinator) {
			wasCoordinator = isCoordinator;
			coordinatesSinceMs = isCoordinator ? clock.nowMs() : Infinity;
			logger.info('coordinator changed', {
				isCoordinator,
				coordinator: members.coordinator.address,
				vmCount: members.vmCount,
			});
			if (isCoordinator) {
				exchange.broadcastBeacon();
			}
		}
	};

	const isAlone = () => members.rankedMembers().length === 1;
	exchange.sendHeartbeat();
	keepDoing(
		() => (isAlone() ? searchIntervalMs : heartbeatIntervalMs),
		() => {
			pauses.check();
			exchange.sendHeartbeat();
			noticeDuty();
			book.removeExpired();
			exchange.sweep();
		},
	);
	keepDoing(options.beaconIntervalMs, () => {
		if (members.isCoordinator) {
			exchange.broadcastBeacon();
		}
	});
	owned.add(
		startCoordinatorRegistry({
			clock,
			timers,
			store: options.store,
			vmName: vm.name,
			address,
			isCoordinator: () => members.isCoordinator,
			isAlone,
			onCoordinatorFound(found) {
				if (members.silentMs(found) === Infinity) {
					exchange.sendBeacon(found);
				}
			},
			logger,
		}),
	);
	return {
		members,
		placeClient,
		retryClient,
		relay,
		runReporter,
		resumedMs() {
			pauses.check();
			return pauses.resumedMs;
		},
		announceStoreLost() {
			if (members.isStoreReader('lost')) {
				exchange.sendHeartbeat();
				if (members.isCoordinator) {
					exchange.broadcastBeacon();
				}
			}
		},
		tellMarks() {
			if (members.isCoordinator) {
				exchange.broadcastBeacon();
			}
		},
		dispose() {
			owned.dispose();
		},
	};
}
