import {randomUUID} from 'node:crypto';
import {
	createCallerListener,
	createPeerTablesServer,
} from '../../adapters/front/index.js';
import {
	createLogger,
	createMetrics,
	SystemClock,
	SystemTimers,
} from '../../adapters/system/index.js';
import {
	createDisposableStore,
	defaultCallerLimits,
	repeat,
	SeededRandomSource,
} from '../../common/index.js';
import {
	createRouteTable,
	type RouteTable,
} from '../../decisions/serving/index.js';
import {HttpTargetClient} from '../../platform/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {logAvoidedTargets} from './avoided-target-log.js';
import {
	createConnectionBounds,
	openRequestLimits,
} from './connection-bounds.js';
import {startCrashGuard} from './crash-guard.js';
import {startDeploymentState} from './deployment-state.js';
import type {FrontSettings} from './front-settings.js';
import {watchBootFile} from './live-settings.js';
import type {FrontDaemon} from './front-daemon.js';
import {createGracefulStop} from './graceful-stop.js';
import {createFrontPages} from './front-pages.js';
import {openFrontServers} from './front-servers.js';
import {countPermitDecision} from './rate-limit-log.js';
import {createTableFreshnessGate} from './table-freshness.js';
import {logTargetState} from './target-state-log.js';
import {watchTargets} from './watch-targets.js';
import {openOrClose} from './open-or-close.js';
import {createRequestMemory} from './request-memory.js';
import {createRequestServer} from './request-server.js';

/** Interval at which streams are checked for stalls and lapsed targets are removed, in milliseconds. */
const tickMs = 250;
/**
 * Age up to which the configuration counts as the newest, as a fraction of the time within which a
 * change must be in force.
 */
const maxConfigurationAgeFraction = 0.8;

/** Creates the components of a front daemon, connects them and starts to listen. */
export async function createFront(
	settings: FrontSettings,
): Promise<FrontDaemon> {
	const {vm} = settings;
	const logger = createLogger(
		'cowslip-front',
		settings.logLevel,
		settings.maxLogBacklogBytes,
	).child({vm: vm.name});
	const reportUnexpected = createUnexpectedErrorLog(logger);
	const metrics = createMetrics();
	const clock = new SystemClock();
	const timers = new SystemTimers();
	const instanceId = randomUUID();
	const random = new SeededRandomSource(
		Number.parseInt(instanceId.slice(0, 8), 16),
	);
	const owned = createDisposableStore();
	const liveSettings = owned.add(watchBootFile(settings.bootFile, vm, logger));
	const gracefulStop = createGracefulStop({
		clock,
		timers,
		graceMs: () => liveSettings.current.bounds.stopGraceMs,
		logger,
	});

	const deployment = owned.add(
		startDeploymentState({
			settings,
			instanceId,
			clock,
			timers,
			random,
			bounds: () => liveSettings.current.bounds,
			onPermitDecision(decision) {
				countPermitDecision(metrics, decision);
			},
			onTableRead(table, reason) {
				metrics.count('store_reads', {table, reason});
			},
			logger,
		}),
	);
	const {
		configuration,
		directory,
		targetHealth,
		statements,
		evacuatedZones,
		eligibility,
		coldTargets,
		callTargets,
		zoneCalls,
		engineSelector,
		storeWatch,
	} = deployment;
	owned.add(logTargetState(deployment, logger, metrics));
	const {detector, avoidedTargets} = targetHealth;
	owned.add(logAvoidedTargets(avoidedTargets, logger, metrics));
	const targetClient = new HttpTargetClient();
	const bufferBudget = createRequestMemory(settings);
	let routeTable: RouteTable | undefined;
	const {quarantine, observer: crashObserver} = owned.add(
		startCrashGuard({
			clock,
			timers,
			random,
			evidence: deployment.crashEvidence,
			vmCount: deployment.vmCount,
			targetClient,
			directory,
			logger,
			metrics,
		}),
	);

	const requests = createRequestServer({
		clock,
		timers,
		random,
		targetClient,
		directory,
		engineSelector,
		callTargets,
		zoneCalls,
		requestContinuationTurn: deployment.requestContinuationTurn,
		detector,
		callObserver: targetHealth.observer,
		avoidedTargets,
		retryShare: deployment.retryShare,
		statements,
		eligibility,
		coldTargets,
		standings: deployment.standings,
		crashEvidence: deployment.crashEvidence,
		crashObserver,
		quarantine,
		responseLimits: settings.responseLimits,
		bufferBudget,
		metrics,
		logger,
		routeTable: () => routeTable,
		stopTimes: () => gracefulStop.times,
		areTargetsCurrent: () => storeWatch.areTargetsCurrent,
		onUnexpected: reportUnexpected,
		freshnessGate: createTableFreshnessGate({
			clock,
			timers,
			storeWatch,
			resumedMs: deployment.resumedMs,
		}),
		isConfigurationCurrent: () =>
			storeWatch.configurationSync.ageMs <=
			liveSettings.current.bounds.configurationApplyMs *
				maxConfigurationAgeFraction,
	});
	owned.add(
		quarantine.onChanged(({isSuspected}) => {
			if (isSuspected) {
				requests.endQuarantined();
			}
		}),
	);
	const connectionBounds = owned.add(
		createConnectionBounds({settings, clock, timers, logger, metrics}),
	);
	const listener = createCallerListener({
		bounds: connectionBounds.of('callers'),
		limits: () => configuration.current?.limits ?? defaultCallerLimits,
		isStopping: () => gracefulStop.times !== undefined,
		bufferBudget,
		openRequestLimits: openRequestLimits(settings),
		maxUnreadBytes: settings.maxUnreadBytes,
		timers,
		maxReceiveMs: settings.maxReceiveMs,
		serve: (received, response) => requests.serve(received, response),
		onProblem(problem) {
			logger.error('request of a caller failed', {
				type: problem.type,
				detail: problem.message,
			});
		},
	});

	const isEngineService = (service: string) =>
		routeTable?.configuration.routes.some(
			(route) =>
				route.generation &&
				route.shares.some((share) => share.service === service),
		) ?? false;
	const {capacityReader} = owned.add(
		watchTargets({
			timers,
			targetClient,
			deployment,
			isEngineService,
			crashObserver,
			requests,
			logger,
		}),
	);
	owned.add(
		configuration.onChanged((current) => {
			routeTable = createRouteTable(current);
			listener.applyLimits(current.limits);
			for (const service of current.services.keys()) {
				for (const {entry} of directory.usable(service)) {
					capacityReader.readIfMissing(entry);
				}
			}
		}),
	);

	owned.add(
		repeat(timers, {
			intervalMs: () => tickMs,
			run() {
				directory.tick();
				statements.sweep();
				coldTargets.tick();
				requests.tick();
				targetClient.retainOnly(directory.addresses());
			},
			onError: reportUnexpected,
		}),
	);

	const pages = createFrontPages({
		isReady: () => gracefulStop.times === undefined && storeWatch.isLoaded,
		metricsText: () => metrics.text(),
		bounds: {
			ready: connectionBounds.of('ready'),
			metrics: connectionBounds.of('metrics'),
		},
		onUnexpected: reportUnexpected,
	});
	const close = async () => {
		owned.dispose();
		await deployment.closeStore();
	};

	const servers = await openOrClose(close, async () =>
		openFrontServers(
			{
				callers: listener.server,
				ready: pages.ready,
				metrics: pages.metrics,
				peerTables: createPeerTablesServer(
					() => storeWatch.tables(),
					connectionBounds.of('peers'),
				),
			},
			settings,
		),
	);

	logger.info('started', {
		vm: vm.name,
		instanceId,
		availabilityZone: vm.availabilityZone,
		callerAddress: vm.callerAddress,
	});

	return {
		evacuatedZones,
		avoidedTargets,
		reportUnexpected,
		reload() {
			liveSettings.reload();
		},
		async stop() {
			return gracefulStop.run({
				listener,
				giveUpAll() {
					requests.giveUpAll('the VM stopped');
				},
				async close() {
					servers.dispose();
					await close();
				},
			});
		},
	};
}
