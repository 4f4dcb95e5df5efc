import {randomUUID} from 'node:crypto';
import {
	createCallerListener,
	createPeerStateServer,
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
	createFreshnessGate,
	createBufferBudget,
	createRouteTable,
	type RouteTable,
} from '../../decisions/serving/index.js';
import {HttpTargetClient} from '../../platform/index.js';
import {listen} from '../entry/listen.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';
import {createCapacityReader} from './capacity-reader.js';
import {startEnginePolling} from './engine-polling.js';
import {startFleetState} from './fleet-state.js';
import type {FrontSettings} from './front-settings.js';
import {watchBootFile} from './live-settings.js';
import {createFrontPages} from './front-pages.js';
import {waitForRequests} from './wait-for-requests.js';
import {createRequestServer} from './request-server.js';
import {handleTargetEvents} from './handle-target-events.js';

/** A running front daemon. */
export type FrontDaemon = {
	/** Reads the boot file again. */
	reload(): void;
	/** Logs an error that nothing handled; it must not end the process. */
	reportUnexpected(error: unknown): void;
	/** Turns readiness off, waits for the open requests as long as it may, and ends. */
	stop(): Promise<void>;
};

/** Interval at which streams are checked for silence and lapsed targets are settled, in milliseconds. */
const tickMs = 250;
const bytesPerMegabyte = 1_048_576;
/** Requests under way may hold this multiple of what new ones are admitted up to. */
const totalToAdmitted = 2;
/** Part of the time for a configuration to be in force for which what is known of it is certain. */
const certainPart = 0.8;
/** Part of the descriptors that callers' connections may take; targets and files need the others. */
const callerDescriptorPart = 0.6;
/** Part of the grace time that is left for the end of the process, in milliseconds. */
const stopMarginMs = 400;

function splitAddress(address: string): {host: string; port: number} {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
}

/** Wires a front daemon together and makes it listen. */
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
	const live = owned.add(watchBootFile(settings.bootFile, vm, logger));
	let stoppingMs = 0;
	let stopAtMs: number | undefined;

	const fleet = owned.add(
		startFleetState({
			settings,
			instanceId,
			clock,
			timers,
			random,
			bounds: () => live.current.bounds,
			onTableRead(table, reason) {
				metrics.count('store_reads', {table, reason});
			},
			logger,
		}),
	);
	const {configuration, directory, detector, targetSelector, watch} = fleet;
	const link = new HttpTargetClient();
	const admissionLimitBytes =
		vm.limits.memoryMb *
		bytesPerMegabyte *
		(settings.requestMemoryPercent / 100);
	const held = createBufferBudget({
		admissionLimitBytes,
		hardLimitBytes: admissionLimitBytes * totalToAdmitted,
	});
	let table: RouteTable | undefined;

	const requests = createRequestServer({
		clock,
		timers,
		random,
		link,
		directory,
		targetSelector: targetSelector,
		detector,
		retryShare: fleet.retryShare,
		answerBounds: settings.answerBounds,
		held,
		metrics,
		logger,
		routeTable: () => table,
		stopTimes: () =>
			stopAtMs === undefined
				? undefined
				: {
						sinceSignalMs: clock.nowMs() - stoppingMs,
						leftMs: stopAtMs - clock.nowMs(),
					},
		areTargetsCurrent: () => watch.areTargetsCurrent,
		onUnexpected: reportUnexpected,
		gate: createFreshnessGate({
			timers,
			isFresh: () =>
				watch.isStoreLost ||
				watch.targetsBelief.ageMs <= clock.nowMs() - fleet.resumedMs(),
			onConfirmed: watch.targetsBelief.onConfirmed,
			refresh() {
				watch.refreshTargets();
			},
		}),
		isConfigurationCurrent: () =>
			watch.configurationBelief.ageMs <=
			live.current.bounds.configurationApplyMs * certainPart,
	});
	const listener = createCallerListener({
		limits: () => configuration.current?.limits ?? defaultCallerLimits,
		isStopping: () => stopAtMs !== undefined,
		held,
		maxUnreadBytes: settings.maxUnreadBytes,
		maxReceiveMs: settings.maxReceiveMs,
		maxConnections: Math.floor(vm.limits.maxDescriptors * callerDescriptorPart),
		serve: (received, reply) => requests.serve(received, reply),
		onProblem(problem) {
			logger.error('request failed unexpectedly', {
				type: problem.type,
				detail: problem.message,
			});
		},
	});

	const isEngineService = (service: string) =>
		table?.configuration.routes.some(
			(route) =>
				route.generation &&
				route.shares.some((share) => share.service === service),
		) ?? false;
	const capacities = owned.add(
		createCapacityReader({
			link,
			timers,
			isEngineService,
			onCapacity(service, tokens) {
				targetSelector.setCapacity(service, tokens);
			},
			logger,
		}),
	);
	owned.add(
		startEnginePolling({
			timers,
			link,
			directory,
			areTargetsCurrent: () => watch.areTargetsCurrent,
			engines: () => requests.engines(),
			logger,
		}),
	);
	owned.add(
		handleTargetEvents({
			directory,
			link,
			detector,
			capacities,
			requests,
			logger,
		}),
	);
	owned.add(
		configuration.onChanged((current) => {
			table = createRouteTable(current);
			listener.applyLimits(current.limits);
			for (const service of current.services.keys()) {
				for (const {entry} of directory.usable(service)) {
					capacities.targetArrived(entry);
				}
			}
		}),
	);

	owned.add(
		repeat(timers, {
			intervalMs: () => tickMs,
			run() {
				directory.tick();
				requests.tick();
				link.retainOnly(directory.addresses());
			},
			onError: reportUnexpected,
		}),
	);

	const pages = createFrontPages({
		isReady: () => stopAtMs === undefined && watch.isLoaded,
		metricsText: () => metrics.text(),
		onUnexpected: reportUnexpected,
	});
	const peerState = createPeerStateServer(() => watch.tables());
	const caller = splitAddress(vm.callerAddress);
	const ready = splitAddress(vm.readyAddress);
	await listen(listener.server, caller.port, caller.host);
	await listen(pages.ready, ready.port, ready.host);
	await listen(peerState, vm.peerPorts[0], vm.ip);
	if (settings.metricsPort > 0) {
		await listen(pages.metrics, settings.metricsPort, vm.ip);
	}

	logger.info('started', {
		vm: vm.name,
		instanceId,
		availabilityZone: vm.availabilityZone,
		callerAddress: vm.callerAddress,
	});

	const drain = async () => {
		stoppingMs = clock.nowMs();
		stopAtMs = stoppingMs + live.current.bounds.stopGraceMs - stopMarginMs;
		logger.info('stopping', {openRequests: listener.openCount});
		await waitForRequests({
			clock,
			timers,
			listener,
			deadlineMs: stopAtMs,
			giveUpAll() {
				logger.warn('stop cuts requests', {openRequests: listener.openCount});
				requests.giveUpAll('the VM stopped');
			},
		});
		logger.info('stopped', {openRequests: listener.openCount});
		owned.dispose();
		for (const server of [
			listener.server,
			pages.ready,
			pages.metrics,
			peerState,
		]) {
			server.close();
			server.closeAllConnections();
		}

		await fleet.closeStore();
	};

	let stopped: Promise<void> | undefined;
	return {
		reportUnexpected,
		reload() {
			live.reload();
		},
		async stop() {
			stopped ??= drain();
			return stopped;
		},
	};
}
