import {
	openDatagramSocket,
	packText,
	unpackText,
} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	ProblemError,
	type RandomSource,
	type RowStore,
	type Timers,
	toProblem,
	type VmSettings,
} from '../../common/index.js';
import {
	type Beacon,
	createMemberList,
	createPlaceClient,
	createRetryClient,
	createRetryPool,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
	type Heartbeat,
	type MemberList,
	type MemberMark,
	type PlaceClient,
	type RetryClient,
	type StoreReading,
	type TableMark,
} from '../../decisions/fleet/index.js';
import {
	createGenerationScheduler,
	createRunBook,
	type EngineEntry,
	type GenerationScheduler,
} from '../../decisions/scheduling/index.js';
import {
	decodeRelayedConfiguration,
	decodeRelayedRows,
	encodeRelayedConfiguration,
	encodeRelayedRows,
	type RelayedRows,
} from '../../decisions/serving/index.js';
import type {ConfigurationChange} from './store-watch.js';
import {startCoordinatorRegistry} from './coordinator-registry.js';
import {createRunReports, type RunReports} from './run-reports.js';

/** What the exchange works with. */
export type FleetExchangeOptions = {
	readonly vm: VmSettings;
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly store: RowStore;
	/** Extra repeated sends that the whole fleet has in a window. */
	readonly retryBounds: () => {
		readonly extra: number;
		readonly windowMs: number;
	};
	/** Interval of beacons, in milliseconds. */
	readonly beaconIntervalMs: () => number;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	readonly reading: () => StoreReading;
	readonly configurationMark: () => TableMark;
	readonly targetsMark: () => TableMark;
	/** A VM told how far it is with the tables. */
	readonly onMarks: (
		from: string,
		configuration: TableMark,
		targets: TableMark,
	) => void;
	/** A VM that reads the store told of changes of the targets. */
	readonly onRows: (changes: RelayedRows) => void;
	/** A VM that reads the store told of a configuration. */
	readonly onConfiguration: (change: ConfigurationChange) => void;
	readonly logger: Logger;
};

/** The other VMs: who has which duty, where generations go, and what the store says. */
export type FleetExchange = Disposable & {
	readonly members: MemberList;
	readonly placeClient: PlaceClient;
	readonly retryClient: RetryClient;
	readonly runs: RunReports;
	/** Monotonic time since which this VM has run without a pause, in milliseconds. */
	resumedMs(): number;
	/** Passes changes of the targets on to all VMs. */
	tellRows(changes: RelayedRows): void;
	/** Passes a configuration on to all VMs, unless it is large. */
	tellConfiguration(change: ConfigurationChange): void;
	/** Tells all VMs soon how far the store is. */
	tellMarks(): void;
};

/** Identifiers are cut to what tells two lives of a VM apart. */
const instanceIdLength = 8;
const heartbeatIntervalMs = 1000;
/** The same until another VM is heard, in milliseconds. */
const searchIntervalMs = 250;
/** Interval at which generations that wait are looked at, in milliseconds. */
const schedulerTickMs = 25;
/** A longer gap between two heartbeats shows that this VM did not run. */
const pauseMs = 1800;
/** Interval at which one VM is told that another one coordinates, in milliseconds. */
const redirectIntervalMs = 300;
const listedMembers = 8;

function parse(text: string): unknown {
	return JSON.parse(text) as unknown;
}

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
	const book = createRunBook(clock);
	const newestSequence = new Map<string, string>();
	const redirectedMs = new Map<string, number>();
	const seeds = vm.seedIps
		.map((ip) => `${ip}:${port}`)
		.filter((seed) => seed !== address);
	let sequence = 0;
	let isDisposed = false;

	const sendToAll = (text: string) => {
		for (const to of members.addresses()) {
			socket.send(to, text);
		}
	};

	const send = (to: string, message: FleetMessage) => {
		socket.send(to, encodeFleetMessage(message));
	};

	const scheduler: GenerationScheduler = createGenerationScheduler({
		clock,
		random: options.random,
		book,
		engines: options.engines,
		onAnswer(to, {id}, answer) {
			if (to === address) {
				placeClient.decided(id, answer);
			} else {
				send(to, {kind: 'placed', id, answer});
			}
		},
	});
	const placeClient = createPlaceClient({
		clock,
		timers,
		ownAddress: address,
		members,
		scheduler,
		send,
		onWaiting() {
			tickWhileWaiting();
		},
	});
	let coordinatesSinceMs = Infinity;
	const retryPool = createRetryPool({
		clock,
		bounds: options.retryBounds,
		coordinatesSinceMs: () => coordinatesSinceMs,
	});
	const retryClient = createRetryClient({
		timers,
		ownAddress: address,
		members,
		pool: retryPool,
		send,
	});
	const runs = owned.add(
		createRunReports(timers, (set, ended) => {
			for (const run of set) {
				book.set(address, run);
			}

			for (const id of ended) {
				book.remove(address, id);
			}

			for (const accountant of members.accountants()) {
				if (accountant.address !== address) {
					send(accountant.address, {kind: 'run-update', set, ended});
				}
			}
		}),
	);

	const beacon = (): Beacon => {
		sequence++;
		return {
			kind: 'beacon',
			sender: ownMark(),
			sequence,
			vmCount: members.vmCount,
			members: members
				.ranked()
				.slice(0, listedMembers)
				.filter((member) => member.address !== address)
				.map((member) => [member, members.silentMs(member.address)] as const),
			configuration: options.configurationMark(),
			targets: options.targetsMark(),
		};
	};

	const tellBeacon = () => {
		sendToAll(encodeFleetMessage(beacon()));
	};

	const heartbeat = () => {
		sequence++;
		const message: Heartbeat = {
			kind: 'heartbeat',
			sender: ownMark(),
			sequence,
			configuration: options.configurationMark(),
			targets: options.targetsMark(),
			runs: runs.all(),
		};
		book.heard(address, message.runs);
		const known = new Set(members.addresses());
		const to = members
			.accountants()
			.map((member) => member.address)
			.filter((one) => one !== address);
		// Seeds that are not heard may be back, or belong to another group of VMs.
		const isSearching = members.coordinator.address === address;
		const unheard = isSearching ? seeds.filter((seed) => !known.has(seed)) : [];
		const text = encodeFleetMessage(message);
		for (const one of [...to, ...unheard]) {
			socket.send(one, text);
		}
	};

	/** Tells a VM whom to turn to. */
	const redirect = (to: string) => {
		const nowMs = clock.nowMs();
		if (nowMs - (redirectedMs.get(to) ?? -Infinity) >= redirectIntervalMs) {
			redirectedMs.set(to, nowMs);
			send(to, beacon());
		}
	};

	const isNew = (from: string, {instanceId}: MemberMark, number: number) => {
		const [knownInstance, knownNumber] =
			newestSequence.get(from)?.split(' ') ?? [];
		if (knownInstance === instanceId && Number(knownNumber) >= number) {
			return false;
		}

		newestSequence.set(from, `${instanceId} ${number}`);
		return true;
	};

	const takeHeartbeat = (from: string, message: Heartbeat) => {
		if (!isNew(from, message.sender, message.sequence)) {
			return;
		}

		const isKnown = members.silentMs(from) < Infinity;
		members.heard({...message.sender, address: from}, 0);
		book.heard(from, message.runs);
		options.onMarks(from, message.configuration, message.targets);
		const isAccountant = members
			.accountants()
			.some((member) => member.address === address);
		if (!isKnown || !isAccountant) {
			redirect(from);
		}
	};

	const takeBeacon = (from: string, message: Beacon) => {
		if (!isNew(from, message.sender, message.sequence)) {
			return;
		}

		members.heard({...message.sender, address: from}, 0);
		for (const [member, ageMs] of message.members) {
			members.heard(member, ageMs);
		}

		members.counted(message.vmCount);
		options.onMarks(from, message.configuration, message.targets);
	};

	const take = (from: string, message: FleetMessage) => {
		switch (message.kind) {
			case 'heartbeat': {
				takeHeartbeat(from, message);
				break;
			}

			case 'beacon': {
				takeBeacon(from, message);
				break;
			}

			case 'run-update': {
				for (const run of message.set) {
					book.set(from, run);
				}

				for (const id of message.ended) {
					book.remove(from, id);
				}

				scheduler.tick();
				break;
			}

			case 'place': {
				const {demand} = message;
				const answer = scheduler.place(from, demand);
				send(from, {kind: 'placed', id: demand.id, answer});
				tickWhileWaiting();
				break;
			}

			case 'placed': {
				placeClient.answered(from, message.id, message.answer);
				break;
			}

			case 'cancel': {
				scheduler.cancel(from, message.id);
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

	/** What a VM that reads the store passes on. */
	const takeRelayed = (value: unknown) => {
		const rows = decodeRelayedRows(value);
		if (rows) {
			options.onRows(rows);
			return;
		}

		const configuration = decodeRelayedConfiguration(value);
		if (!configuration) {
			throw new ProblemError('peer-protocol', 'the form is not known');
		}

		const {afterVersion, version, packed} = configuration;
		options.onConfiguration({
			afterVersion,
			version,
			text: unpackText(packed),
		});
	};

	let tickedMs = clock.nowMs();
	let resumedMs = -Infinity;

	/** Whatever runs first after a pause notices it by the time, not by a timer that may run later. */
	const noticePause = () => {
		const nowMs = clock.nowMs();
		if (nowMs - tickedMs > pauseMs) {
			logger.warn('this VM did not run for a while', {
				pausedMs: Math.round(nowMs - tickedMs),
			});
			members.paused();
			resumedMs = nowMs;
		}

		tickedMs = nowMs;
	};

	socket.onDatagram(({from, text}) => {
		noticePause();
		try {
			const value = parse(text);
			if (Array.isArray(value)) {
				take(from, decodeFleetMessage(value));
			} else {
				takeRelayed(value);
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

	const repeat = (run: () => void, intervalMs: () => number) => {
		timers.after(intervalMs(), () => {
			if (!isDisposed) {
				run();
				repeat(run, intervalMs);
			}
		});
	};

	let ticking: Disposable | undefined;
	/** Looks at what waits as long as something does; a VM at rest has nothing to wake up for. */
	const tickWhileWaiting = () => {
		if (scheduler.waitingCount > 0 && !isDisposed) {
			ticking ??= timers.after(schedulerTickMs, () => {
				ticking = undefined;
				scheduler.tick();
				tickWhileWaiting();
			});
		}
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
				tellBeacon();
			}
		}
	};

	const sweep = () => {
		book.tick();
		for (const [from] of newestSequence) {
			if (members.silentMs(from) === Infinity) {
				newestSequence.delete(from);
				redirectedMs.delete(from);
			}
		}
	};

	const isAlone = () => members.ranked().length === 1;
	heartbeat();
	repeat(
		() => {
			noticePause();
			heartbeat();
			noticeDuty();
			sweep();
		},
		() => (isAlone() ? searchIntervalMs : heartbeatIntervalMs),
	);
	repeat(() => {
		if (members.isCoordinator) {
			tellBeacon();
		}
	}, options.beaconIntervalMs);
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
					send(found, beacon());
				}
			},
			logger,
		}),
	);
	return {
		members,
		placeClient,
		retryClient,
		runs,
		resumedMs() {
			noticePause();
			return resumedMs;
		},
		tellRows(changes) {
			for (const text of encodeRelayedRows(changes)) {
				sendToAll(text);
			}
		},
		tellConfiguration({text, ...change}) {
			const packed = packText(text);
			const message = encodeRelayedConfiguration({...change, packed});
			if (message !== undefined) {
				sendToAll(message);
			}
		},
		tellMarks() {
			if (members.isCoordinator) {
				tellBeacon();
			}
		},
		dispose() {
			isDisposed = true;
			ticking?.dispose();
			owned.dispose();
		},
	};
}
