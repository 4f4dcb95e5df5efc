import {randomUUID} from 'node:crypto';
import {TrpcLeasePeers} from '../../adapters/peers/index.js';
import {HttpWeightStore} from '../../adapters/standalone-platform/index.js';
import type {Logger, Metrics} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type LoadReport,
	type StopResponse,
	type StopRequest,
	type TableService,
	toProblem,
	type VmList,
	type VmListSnapshot,
} from '../../common/index.js';
import {
	type ConfigurationFollower,
	targetsOf,
} from '../../decisions/configuration/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import {
	createOrderCoordinator,
	demandFromReports,
	type EngineView,
	orderSettingsOf,
} from '../../decisions/leases/index.js';
import type {EntrySettings} from './settings.js';
import type {TargetsRegistry} from './targets-registry.js';

/** Dependencies and settings of `createOrderLoop`. */
export type OrderLoopOptions = {
	readonly settings: EntrySettings;
	/** Id of this run of the process; a restarted process has a new one. */
	readonly processRunId: string;
	readonly table: TableService;
	readonly vmList: VmList;
	readonly clock: Clock;
	readonly follower: ConfigurationFollower;
	readonly registry: TargetsRegistry;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly explainLog: ExplainLog;
};

/**
 * Runs the order coordinator of a daemon: reads load reports and the VM list, holds leases of targets,
 * and sends orders to them.
 */
export type OrderLoop = Disposable & {
	/** Tells a later holder of a lease whether this VM has stopped using it. */
	confirmStop(request: StopRequest): StopResponse;
	/**
	 * Records a load report that another component has read.
	 * @param readMs - monotonic time at which the read began, in milliseconds
	 */
	recordReport(targetId: string, report: LoadReport, readMs: number): void;
	/** Starts the periodic reads and the coordinator. */
	start(): void;
	/**
	 * Takes no more leases, releases those without an order in flight, and stops the loop after a few
	 * ticks at most, even if some leases are still held. Disposing the loop releases none.
	 */
	stop(): Promise<void>;
};

const tickMs = 500;
const maxOpenReads = 16;
// Age of the figures of an engine's load report from which the report is read again, unless the poll
// interval is shorter. Engines whose reports are recorded by the routing are thus not read twice.
const staleReportAgeMs = 4000;
const maxStopTicks = 6;

/** Creates the loop; it holds no lease until it is started. */
export function createOrderLoop(options: OrderLoopOptions): OrderLoop {
	const {settings, clock, follower, registry, metrics, logger, explainLog} =
		options;
	const disposables = createDisposableStore();
	const engineViews = new Map<string, EngineView>();
	let vmListSnapshot: VmListSnapshot | undefined;
	let lastHeldCount = 0;
	let configuration = follower.current;
	let orderSettings = orderSettingsOf(configuration);
	let targets = targetsOf(configuration);

	// Derives the settings and targets again if the configuration has changed.
	const refreshConfiguration = () => {
		if (follower.current !== configuration) {
			configuration = follower.current;
			orderSettings = orderSettingsOf(configuration);
			targets = targetsOf(configuration);
		}
	};

	const configuredEngines = () =>
		[...engineViews.values()].filter(({target}) => targets.has(target.id));
	const weightStore = new HttpWeightStore({
		url: settings.platformUrl,
		timeoutMs: settings.tableTimeoutMs,
	});
	const coordinator = createOrderCoordinator({
		table: options.table,
		clock,
		placement: () => orderSettings.placement,
		weights: () => orderSettings.weights,
		models: () => orderSettings.models,
		demand: () => demandFromReports(configuredEngines(), orderSettings.models),
		engines: configuredEngines,
		sizeBytes: async (model, version) => weightStore.sizeBytes(model, version),
		createCommandId: () => randomUUID(),
		vmInstanceId: settings.vmInstanceId,
		incarnation: options.processRunId,
		settings: () => orderSettings.lease,
		candidatesPerTarget: () => orderSettings.candidatesPerTarget,
		targets: () => targets,
		engineFor: (targetId) => registry.findEngine(targetId),
		peers: new TrpcLeasePeers({
			addressOf: (vmInstanceId) =>
				vmListSnapshot?.vms.find((vm) => vm.instanceId === vmInstanceId)
					?.address,
			token: settings.peerToken,
			timeoutMs: settings.tableTimeoutMs,
		}),
		onRecord(record) {
			explainLog.add({...record, kind: 'order', atWallMs: clock.wallMs()});
		},
		onCount(name, labels) {
			metrics.count(name, labels);
		},
	});

	const recordReport = (
		targetId: string,
		report: LoadReport,
		readMs: number,
	) => {
		const target = targets.get(targetId);
		if (target) {
			engineViews.set(targetId, {
				target,
				models: report.models,
				leaving: report.leaving,
				seenMs: readMs - report.ageMs,
				runningCount: report.runningCount,
				waitingCount: report.waitingCount,
			});
		}
	};

	const readReport = async (targetId: string) => {
		const readMs = clock.nowMs();
		try {
			const report = await registry.findEngine(targetId)?.loadReport();
			if (report) {
				recordReport(targetId, report, readMs);
			}
		} catch (error) {
			metrics.count('order_report_errors', {type: toProblem(error).type});
		}
	};

	const readStaleReports = async () => {
		const nowMs = clock.nowMs();
		const stale = [...targets.values()].filter(
			({id, kind}) =>
				kind === 'engine' &&
				nowMs - (engineViews.get(id)?.seenMs ?? Number.NEGATIVE_INFINITY) >=
					Math.min(staleReportAgeMs, settings.pollIntervalMs),
		);
		for (let start = 0; start < stale.length; start += maxOpenReads) {
			const batch = stale.slice(start, start + maxOpenReads);
			await Promise.all(batch.map(async ({id}) => readReport(id)));
		}
	};

	const readVmList = async () => {
		try {
			vmListSnapshot = await options.vmList.read();
			coordinator.recordVmList(vmListSnapshot);
		} catch (error) {
			metrics.count('order_list_errors', {type: toProblem(error).type});
		}
	};

	const tick = async () => {
		refreshConfiguration();
		if (!follower.isCaughtUp) {
			return;
		}

		try {
			await coordinator.tick();
		} catch (error) {
			metrics.count('order_tick_errors', {type: toProblem(error).type});
		}

		if (coordinator.heldCount !== lastHeldCount) {
			lastHeldCount = coordinator.heldCount;
			logger.info('number of leases held has changed', {
				heldCount: lastHeldCount,
			});
		}
	};

	/** Calls an asynchronous function periodically, except while its previous call has not ended. */
	const every = (intervalMs: number, run: () => Promise<void>) => {
		let running = false;
		const timer = setInterval(() => {
			if (!running) {
				running = true;
				void run().finally(() => {
					running = false;
				});
			}
		}, intervalMs);
		disposables.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	return {
		confirmStop: (request) => coordinator.confirmStop(request),
		recordReport,
		start() {
			every(settings.pollIntervalMs, readVmList);
			every(settings.pollIntervalMs, readStaleReports);
			every(tickMs, tick);
			void readVmList();
		},
		async stop() {
			coordinator.startDraining();
			for (let tickCount = 0; tickCount < maxStopTicks; tickCount++) {
				if (coordinator.heldCount === 0) {
					break;
				}

				await tick();
			}

			disposables.dispose();
		},
		dispose() {
			disposables.dispose();
		},
	};
}
