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

/** A running entry daemon. */
export type EntryDaemon = {
	readonly callerPort: number;
	readonly peerPort: number;
	/** Logs an error that nothing handled; it must not end the process. */
	readonly logUnexpectedError: UnexpectedErrorLog;
	/** Turns readiness off, waits for every open exchange, and closes. */
	stop(): Promise<void>;
};

const maxExplainRecords = 5000;

/** Wires an entry daemon together and makes it listen. */
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
	const owned = createDisposableStore();
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
	const configurationWiring = createConfigurationPoller({
		table,
		metrics,
		logger,
		maxPages: settings.configurationMaxPages,
	});
	const {follower, poll: pollTable} = configurationWiring;
	const registry = createTargetsRegistry(clock, random);
	let noteDrained: () => void = () => undefined;
	const drained = new Promise<void>((resolve) => {
		noteDrained = resolve;
	});
	owned.add(
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

	const membership = owned.add(
		createMembershipLoop({
			settings,
			clock,
			random,
			logger,
			metrics,
			vmList,
			follower,
			isStopping: () => plannedStop.isStopping,
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
	const routing = owned.add(
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
				orders.recordReport(targetId, report, readMs);
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

	const plannedStop = createGracefulStop({
		timers: relayComponents.relay.timers,
		invariants: relayComponents.invariants,
		cancellations: relayComponents.relay.cancellations,
		graceMs: settings.relay.stopGraceMs,
		openExchanges: () => callers.openExchanges(),
		onDrained: noteDrained,
	});

	await routing.restore();
	await pollTable();
	const timer = setInterval(() => {
		void pollTable();
	}, settings.pollIntervalMs);
	owned.add({
		dispose() {
			clearInterval(timer);
		},
	});

	let {peerPort} = settings;
	const bookings = owned.add(
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
			isTableReachable: () => configurationWiring.isTableReachable,
		}),
	);
	const orders = owned.add(
		createOrderLoop({
			settings,
			explainLog,
			processRunId: processRunId,
			table,
			vmList,
			clock,
			follower,
			registry,
			metrics,
			logger,
		}),
	);
	const isReady = () => follower.isCaughtUp && !plannedStop.isStopping;
	const callers = createEntryCallerServer({
		settings,
		clock,
		metrics,
		explainLog,
		relayComponents,
		bookings: bookings.coordinator,
		settingsFor,
		isReady,
		isStopping: () => plannedStop.isStopping,
	});
	const peers = createPeerServer({
		peerToken: settings.peerToken,
		operatorToken: settings.operatorToken,
		maxBodyBytes: settings.maxBodyBytes,
		status: () => ({
			name: settings.name,
			instanceId: processRunId,
			availabilityZone: settings.availabilityZone,
			configurationVersion: follower.current.version,
			ready: isReady(),
			stopping: plannedStop.isStopping,
			openStreams: callers.openStreams(),
			cutOff: !configurationWiring.isTableReachable && membership.isIsolated,
			openExchanges: callers.openExchanges(),
			awaitedCallers: relayComponents.relay.cancellations.count,
		}),
		configurationAfter: (version) => follower.changesAfter(version),
		markTargetLeaving(targetId) {
			membership.recordTargetLeaving(targetId);
		},
		exchange: (message) => membership.handlePeerMessage(message),
		metricsText: () => metrics.text(),
		bookingStatus: async (question) => bookings.coordinator.status(question),
		confirmStop: (question) => orders.confirmStop(question),
		explain: (query) =>
			'subject' in query
				? explainLog.bySubject(query.subject)
				: explainLog.byMinute(query.minute),
	});
	const callerPort = await listen(
		callers.server,
		settings.listenPort,
		settings.listenAddress,
	);
	peerPort = await listen(peers, settings.peerPort, settings.listenAddress);
	membership.start(peerPort);
	orders.start();
	logger.info('listening', {callerPort, peerPort});

	return {
		callerPort,
		peerPort,
		logUnexpectedError,
		async stop() {
			if (!plannedStop.begin()) {
				logger.warn('already stopping; open streams are finished first');
				return;
			}

			logger.info('stopping', {openStreams: callers.openStreams()});
			await drained;
			await bookings.coordinator.drain();
			await orders.stop();
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
