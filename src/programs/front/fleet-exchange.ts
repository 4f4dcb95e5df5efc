import {openDatagramSocket} from '../../adapters/front/index.js';
import {createDisposableStore, repeat, toProblem} from '../../common/index.js';
import {
	createMemberList,
	createRetryClient,
	createRetryPool,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
	type MemberMark,
} from '../../decisions/fleet/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {startCoordinatorRegistry} from './coordinator-registry.js';
import type {
	FleetExchange,
	FleetExchangeOptions,
} from './fleet-exchange-types.js';
import {createMemberExchange} from './member-exchange.js';
import {createPauseWatch} from './pause-watch.js';
import {createPlacementDesk} from './placement-desk.js';
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
	const ownMark = (): MemberMark => ({
		address,
		availabilityZone: vm.availabilityZone,
		instanceId: options.instanceId.slice(0, instanceIdLength),
		powerMs: vm.limits.powerMs,
		reading: options.reading(),
	});
	const members = createMemberList(clock, ownMark());
	const seeds = vm.seedIps
		.map((ip) => `${ip}:${port}`)
		.filter((seed) => seed !== address);

	const sendToAll = (text: string) => {
		for (const to of members.addresses()) {
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
		coordinatesSinceMs: () =>
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
		createPlacementDesk({
			clock,
			timers,
			random: options.random,
			address,
			members,
			engines: options.engines,
			send,
		}),
	);
	const {book, runs, placeClient} = desk;
	const exchange = createMemberExchange({
		...options,
		address,
		seeds,
		members,
		book,
		runs: () => runs.all(),
		ownMark,
		sendText: socket.send,
		sendToAll,
	});
	const relay = createStoreRelay({...options, sendToAll});

	const take = (from: string, message: FleetMessage) => {
		switch (message.kind) {
			case 'heartbeat': {
				exchange.takeHeartbeat(from, message);
				break;
			}

			case 'beacon': {
				exchange.takeBeacon(from, message);
				break;
			}

			case 'run-update':
			case 'place':
			case 'placed':
			case 'cancel': {
				desk.take(from, message);
				break;
			}

			case 'retry': {
				const isGranted = retryPool.tryTake(message.service);
				send(from, {kind: 'retry-answer', id: message.id, isGranted});
				break;
			}

			case 'retry-answer': {
				retryClient.answered(message.id, message.isGranted);
				break;
			}
		}
	};

	const pauses = createPauseWatch(clock, (pausedMs) => {
		logger.warn('this VM did not run for a while', {pausedMs});
		members.paused();
	});

	socket.onDatagram(({from, text}) => {
		pauses.notice();
		try {
			const value: unknown = JSON.parse(text);
			if (Array.isArray(value)) {
				take(from, decodeFleetMessage(value));
			} else {
				relay.take(value);
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
				exchange.tellBeacon();
			}
		}
	};

	const isAlone = () => members.ranked().length === 1;
	exchange.tellHeartbeat();
	keepDoing(
		() => (isAlone() ? searchIntervalMs : heartbeatIntervalMs),
		() => {
			pauses.notice();
			exchange.tellHeartbeat();
			noticeDuty();
			book.tick();
			exchange.sweep();
		},
	);
	keepDoing(options.beaconIntervalMs, () => {
		if (members.isCoordinator) {
			exchange.tellBeacon();
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
			onFound(found) {
				if (members.silentMs(found) === Infinity) {
					exchange.tellMembers(found);
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
		runs,
		resumedMs() {
			pauses.notice();
			return pauses.resumedMs;
		},
		tellLost() {
			if (members.isReader('lost')) {
				exchange.tellHeartbeat();
				if (members.isCoordinator) {
					exchange.tellBeacon();
				}
			}
		},
		tellMarks() {
			if (members.isCoordinator) {
				exchange.tellBeacon();
			}
		},
		dispose() {
			owned.dispose();
		},
	};
}
