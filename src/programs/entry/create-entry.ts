import {randomUUID} from 'node:crypto';
import {createPeerServer} from '../../adapters/peers/index.js';
import {
	EtcdTableService,
	HttpObjectStore,
	CachedVmList,
	HttpVmList,
} from '../../adapters/standalone-platform/index.js';
import {
	createLogger,
	createMetrics,
	SystemClock,
} from '../../adapters/system/index.js';
import {createDisposableStore, SeededRandomSource} from '../../common/index.js';
import {
	effectiveSettings,
	targetsOf,
} from '../../decisions/configuration/index.js';
import {createExplainLog} from '../../decisions/explain/index.js';
import {createGracefulStop} from '../../decisions/streams/index.js';
import {
	createUnexpectedErrorLog,
	type UnexpectedErrorLog,
} from '../unexpected-errors.js';
import {listen} from './listen.js';
import {createOrderLoop} from './order-loop.js';
import {createMembershipLoop} from './membership-loop.js';
import {createGenerationRouting} from './generation-routing.js';
import {createRelayComponents} from './relay-components.js';
import {createConfigurationPoller} from './configuration-poller.js';
import {createEntryCallerServer} from './entry-caller-server.js';
import {createBookings} from './create-bookings.js';
import type {EntrySettings} from './settings.js';
import {createTargetsRegistry} from './targets-registry.js';

/** A running entry daemon; its owner handles signals and errors of the process. */
export type EntryDaemon = {
	readonly callerPort: number;
	readonly peerPort: number;
	/** Logs an error that no other code handled; the process must go on. */
	readonly logUnexpectedError: UnexpectedErrorLog;
	/**
	 * Stops gracefully: reports the daemon as not ready, waits until every open request has its whole
	 * response, and closes the servers. A call during a stop does nothing.
	 */
	stop(): Promise<void>;
};

const maxExplainRecords = 5000;

/**
 * Creates the components of an entry daemon, connects them, and makes the daemon listen. Some
 * callbacks use components that are created further down: they must not be called before that.
 */
export async function createEntry(
	settings: EntrySettings,
): Promise<EntryDaemon> {
	const logger = createLogger('cowslip-entry', settings.logLevel);
	const logUnexpectedError = createUnexpectedErrorLog(logger);
	const metrics = createMetrics();
	const clock = new SystemClock();
	const processRunId = randomUUID();
	const random = new SeededRandomSource(
		Number.parseInt(processRunId.slice(0, 8), 16),
	);
	const disposables = createDisposableStore();
	const explainLog = createExplainLog({maxRecords: maxExplainRecords});
	const platform = {
		url: settings.platformUrl,
		timeoutMs: settings.tableTimeoutMs,
	};
	const table = new EtcdTableService(platform);
	const vmList = new CachedVmList(
		new HttpVmList(platform),
		clock,
		settings.pollIntervalMs / 2,
	);
	const configurationPoller = createConfigurationPoller({
		table,
		metrics,
		logger,
		maxPages: settings.configurationMaxPages,
	});
	const {follower, poll: pollTable} = configurationPoller;
	const registry = createTargetsRegistry(clock, random);
	let resolveDrained: () => void = () => undefined;
	const drained = new Promise<void>((resolve) => {
		resolveDrained = resolve;
	});
	disposables.add(
		follower.onChange((configuration) => {
			const targets = targetsOf(configuration);
			registry.update(targets);
			routing.update(targets);
			for (const targetId of membership.leavingTargets) {
				registry.targetTable.markLeaving(targetId);
				routing.engines.markLeaving(targetId);
			}

			for (const [service, targetIds] of registry.targetTable.services()) {
				relayComponents.outliers.setTargets(service, targetIds);
			}

			logger.info('configuration in force', {version: configuration.version});
		}),
	);

	const membership = disposables.add(
		createMembershipLoop({
			settings,
			clock,
			random,
			logger,
			metrics,
			vmList,
			follower,
			isStopping: () => gracefulStop.isStopping,
			onLeavingChanged(targetId, leaving) {
				if (leaving) {
					registry.targetTable.markLeaving(targetId);
					routing.engines.markLeaving(targetId);
				} else {
					registry.targetTable.markReturned(targetId);
					routing.engines.markReturned(targetId);
				}
			},
		}),
	);

	const settingsFor = (account: string, requestClass: string) =>
		effectiveSettings(follower.current, account, requestClass);
	const routing = disposables.add(
		createGenerationRouting({
			settings,
			clock,
			random,
			metrics,
			registry,
			membership,
			objects: new HttpObjectStore(platform),
			explainLog,
			onReport(targetId, report, readMs) {
				orderLoop.recordReport(targetId, report, readMs);
			},
			settingsFor,
		}),
	);
	const relayComponents = createRelayComponents({
		settings: settings.relay,
		clock,
		random,
		metrics,
		placer: routing.placer,
		chooseTarget: (service, avoid) => registry.chooseTarget(service, avoid),
		onTargetLeaving(targetId) {
			membership.recordTargetLeaving(targetId);
		},
		onUnexpected: logUnexpectedError,
		explainLog,
	});

	const gracefulStop = createGracefulStop({
		timers: relayComponents.relay.timers,
		invariants: relayComponents.invariants,
		cancellations: relayComponents.relay.cancellations,
		graceMs: settings.relay.stopGraceMs,
		openExchanges: () => callerServer.openExchanges(),
		onDrained: resolveDrained,
	});

	await routing.restore();
	await pollTable();
	const timer = setInterval(() => {
		void pollTable();
	}, settings.pollIntervalMs);
	disposables.add({
		dispose() {
			clearInterval(timer);
		},
	});

	let {peerPort} = settings;
	const bookings = disposables.add(
		createBookings({
			settings,
			table,
			clock,
			random,
			processRunId,
			peerAddress: () => `${settings.advertiseAddress}:${peerPort}`,
			registry,
			metrics,
			vmList,
			isTableReachable: () => configurationPoller.isTableReachable,
		}),
	);
	const orderLoop = disposables.add(
		createOrderLoop({
			settings,
			explainLog,
			processRunId,
			table,
			vmList,
			clock,
			follower,
			registry,
			metrics,
			logger,
		}),
	);
	const isReady = () => follower.isCaughtUp && !gracefulStop.isStopping;
	const callerServer = createEntryCallerServer({
		settings,
		clock,
		metrics,
		explainLog,
		relayComponents,
		bookings: bookings.coordinator,
		settingsFor,
		isReady,
		isStopping: () => gracefulStop.isStopping,
	});
	const peerServer = createPeerServer({
		peerToken: settings.peerToken,
		operatorToken: settings.operatorToken,
		maxBodyBytes: settings.maxBodyBytes,
		status: () => ({
			name: settings.name,
			instanceId: processRunId,
			availabilityZone: settings.availabilityZone,
			configurationVersion: follower.current.version,
			ready: isReady(),
			stopping: gracefulStop.isStopping,
			openStreams: callerServer.openStreams(),
			cutOff: !configurationPoller.isTableReachable && membership.isIsolated,
			openExchanges: callerServer.openExchanges(),
			awaitedCallers: relayComponents.relay.cancellations.count,
		}),
		configurationAfter: (version) => follower.changesAfter(version),
		markTargetLeaving(targetId) {
			membership.recordTargetLeaving(targetId);
		},
		exchange: (message) => membership.handlePeerMessage(message),
		metricsText: () => metrics.text(),
		bookingStatus: async (question) => bookings.coordinator.status(question),
		confirmStop: (request) => orderLoop.confirmStop(request),
		explain: (query) =>
			'subject' in query
				? explainLog.bySubject(query.subject)
				: explainLog.byMinute(query.minute),
	});
	const callerPort = await listen(
		callerServer.server,
		settings.listenPort,
		settings.listenAddress,
	);
	peerPort = await listen(
		peerServer,
		settings.peerPort,
		settings.listenAddress,
	);
	membership.start(peerPort);
	orderLoop.start();
	logger.info('listening', {callerPort, peerPort});

	return {
		callerPort,
		peerPort,
		logUnexpectedError,
		async stop() {
			if (!gracefulStop.begin()) {
				logger.warn('already stopping; waiting for open requests to end');
				return;
			}

			logger.info('stopping', {openStreams: callerServer.openStreams()});
			await drained;
			await bookings.coordinator.drain();
			await orderLoop.stop();
			disposables.dispose();
			await new Promise((resolve) => {
				callerServer.server.close(resolve);
				callerServer.server.closeIdleConnections();
			});
			peerServer.close();
			peerServer.closeAllConnections();
			logger.info('stopped');
		},
	};
}
