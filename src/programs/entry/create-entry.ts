import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {
	createCallerServer,
	createCompletionsHandler,
	createServicesHandler,
	createStreamTokens,
} from '../../adapters/callers/index.js';
import {
	createPeerClient,
	createPeerServer,
} from '../../adapters/peers/index.js';
import {EtcdTableService, HttpVmList} from '../../adapters/platform/index.js';
import {
	createLogger,
	createMetrics,
	SystemClock,
} from '../../adapters/system/index.js';
import {
	createDisposableStore,
	SeededRandomSource,
	toProblem,
} from '../../common/index.js';
import {createBookingCoordinator} from '../../decisions/bookings/index.js';
import {
	createConfigurationFollower,
	createConfigurationStore,
	effectiveSettings,
	targetsOf,
} from '../../decisions/configuration/index.js';
import {createPlannedStop} from '../../decisions/streams/index.js';
import {createRegistryPlacer} from './registry-placer.js';
import {createRelayWiring} from './relay-wiring.js';
import type {EntrySettings} from './settings.js';
import {createTargetsRegistry} from './targets-registry.js';

/** A running entry daemon. */
export type EntryDaemon = {
	readonly callerPort: number;
	readonly peerPort: number;
	/** Turns readiness off, waits for every open exchange, and closes. */
	stop(): Promise<void>;
};

async function listen(
	server: Server,
	port: number,
	address: string,
): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	return (server.address() as {port: number}).port;
}

/** Wires an entry daemon together and makes it listen. */
export async function createEntry(
	settings: EntrySettings,
): Promise<EntryDaemon> {
	const logger = createLogger('cowslip-entry', settings.logLevel);
	const metrics = createMetrics();
	const clock = new SystemClock();
	const instanceId = randomUUID();
	const random = new SeededRandomSource(
		Number.parseInt(instanceId.slice(0, 8), 16),
	);
	const owned = createDisposableStore();
	const platform = {
		url: settings.platformUrl,
		timeoutMs: settings.tableTimeoutMs,
	};
	const table = new EtcdTableService(platform);
	const vmList = new HttpVmList(platform);
	const store = createConfigurationStore(table);
	const follower = createConfigurationFollower();
	const registry = createTargetsRegistry(clock, random);
	const placer = createRegistryPlacer(registry, metrics);
	const wiring = createRelayWiring({
		settings: settings.relay,
		clock,
		random,
		metrics,
		placer,
		placeCall: (service, avoid) => registry.placeCall(service, avoid),
		onTargetLeaving(targetId) {
			registry.table.markLeaving(targetId);
		},
	});
	const sessions = new Set<object>();
	let tableReachable = true;
	let noteDrained: () => void = () => undefined;
	const drained = new Promise<void>((resolve) => {
		noteDrained = resolve;
	});
	const plannedStop = createPlannedStop({
		timers: wiring.relay.timers,
		invariants: wiring.invariants,
		cancellations: wiring.relay.cancellations,
		graceMs: settings.relay.stopGraceMs,
		openExchanges: () => callers.openExchanges(),
		onDrained: noteDrained,
	});

	owned.add(
		follower.onChange((configuration) => {
			registry.update(targetsOf(configuration));
			for (const [service, targetIds] of registry.table.services()) {
				wiring.outliers.update(service, targetIds);
			}

			logger.info('configuration in force', {version: configuration.version});
		}),
	);

	const noteTable = (reachable: boolean) => {
		if (reachable !== tableReachable) {
			tableReachable = reachable;
			logger.warn(
				reachable
					? 'table service is reachable'
					: 'table service is unreachable',
			);
		}
	};

	const pollTable = async () => {
		try {
			follower.offer(
				await store.changesAfter(follower.current.version),
				'table',
			);
			noteTable(true);
		} catch (error) {
			metrics.count('table_errors', {type: toProblem(error).type});
			noteTable(false);
		}
	};

	const pollPeers = async () => {
		const {vms} = await vmList.read();
		for (const vm of vms) {
			if (
				vm.role === 'entry' &&
				vm.name !== settings.name &&
				follower.confirmed
			) {
				const peer = createPeerClient({
					url: `http://${vm.address}`,
					token: settings.peerToken,
					timeoutMs: settings.tableTimeoutMs,
				});
				const {version} = follower.current;
				follower.offer(await peer.configurationAfter.query({version}), 'peer');
			} else if (vm.role !== 'entry' && vm.state === 'leaving') {
				registry.table.markLeaving(vm.name);
			}
		}
	};

	const poll = async () => {
		await pollTable();
		try {
			await pollPeers();
		} catch (error) {
			metrics.count('peer_errors', {type: toProblem(error).type});
		}
	};

	await poll();
	const timer = setInterval(() => {
		void poll();
	}, settings.pollIntervalMs);
	owned.add({
		dispose() {
			clearInterval(timer);
		},
	});

	const isReady = () => follower.confirmed && !plannedStop.isStopping;
	const settingsFor = (account: string, requestClass: string) =>
		effectiveSettings(follower.current, account, requestClass);
	const page = (status: number, body: string) => () => ({status, body});
	const callers = createCallerServer({
		accountTokens: settings.accountTokens,
		maxHeaderBytes: settings.maxHeaderBytes,
		requestTimeoutMs: settings.relay.requestTimeoutMs,
		isStopping: () => plannedStop.isStopping,
		pages: new Map([
			['/healthz', page(200, 'ok\n')],
			[
				'/readyz',
				() =>
					isReady()
						? {status: 200, body: 'ready\n'}
						: {status: 503, body: 'not ready\n'},
			],
			['/metrics', () => ({status: 200, body: metrics.text()})],
		]),
		handleCompletions: createCompletionsHandler({
			maxBodyBytes: settings.maxBodyBytes,
			maxOpenStreams: settings.relay.maxOpenStreams,
			streamTokens: createStreamTokens(settings.streamKey),
			settingsFor,
			relay: wiring.relay,
			metricsFor: wiring.metricsFor,
			onSession(session) {
				sessions.add(session);
				return {
					dispose() {
						sessions.delete(session);
					},
				};
			},
		}),
		handleServices: createServicesHandler({
			maxBodyBytes: settings.maxBodyBytes,
			retentionMs: settings.bookingRetentionMs,
			callTimeoutMs: settings.callTimeoutMs,
			wallMs: () => clock.wallMs(),
			bookings: createBookingCoordinator({
				table,
				owner: instanceId,
				createAttemptId: () => randomUUID(),
				wallMs: () => clock.wallMs(),
			}),
			place: (service) => registry.placeCall(service),
			caller: wiring.serviceCaller,
			nowMs: () => clock.nowMs(),
		}),
		onProblem(problem) {
			metrics.count('problems', {type: problem.type});
		},
	});
	const peers = createPeerServer({
		peerToken: settings.peerToken,
		operatorToken: settings.operatorToken,
		maxBodyBytes: settings.maxBodyBytes,
		status: () => ({
			name: settings.name,
			instanceId,
			availabilityZone: settings.availabilityZone,
			configurationVersion: follower.current.version,
			ready: isReady(),
			stopping: plannedStop.isStopping,
			openStreams: sessions.size,
			openExchanges: callers.openExchanges(),
			awaitedCallers: wiring.relay.cancellations.count,
		}),
		configurationAfter: (version) => follower.changesAfter(version),
		markTargetLeaving(targetId) {
			registry.table.markLeaving(targetId);
		},
		metricsText: () => metrics.text(),
	});
	const callerPort = await listen(
		callers.server,
		settings.listenPort,
		settings.listenAddress,
	);
	const peerPort = await listen(
		peers,
		settings.peerPort,
		settings.listenAddress,
	);
	logger.info('listening', {callerPort, peerPort});

	return {
		callerPort,
		peerPort,
		async stop() {
			if (!plannedStop.begin()) {
				logger.warn('already stopping; open streams are finished first');
				return;
			}

			logger.info('stopping', {openStreams: sessions.size});
			await drained;
			owned.dispose();
			await new Promise((resolve) => {
				callers.server.close(resolve);
				callers.server.closeIdleConnections();
			});
			peers.close();
			peers.closeAllConnections();
			logger.info('stopped');
		},
	};
}
