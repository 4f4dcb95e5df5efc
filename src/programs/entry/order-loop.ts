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

/** What the duty works with. */
export type OrderLoopOptions = {
	readonly settings: EntrySettings;
	/** Tells this run of the process from others. */
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

/** Leases and commands of a running daemon. */
export type OrderLoop = Disposable & {
	/** Answers a later holder of a lease. */
	confirmStop(question: StopRequest): StopResponse;
	/**
	 * Takes in a load report that another part of the daemon has read.
	 * @param readMs - monotonic time at which the read began, in milliseconds
	 */
	recordReport(targetId: string, report: LoadReport, readMs: number): void;
	/** Begins to hold leases. */
	start(): void;
	/** Gives up the leases that hold no command, and ends. */
	stop(): Promise<void>;
};

const tickMs = 500;
const maxOpenReads = 16;
// Reads are left out while another part of the daemon keeps the views fresh.
const readAfterMs = 4000;
const stopTicks = 6;

/** Creates the duty; it does nothing until it is started. */
export function createOrderLoop(options: OrderLoopOptions): OrderLoop {
	const {settings, clock, follower, registry, metrics, logger, explainLog} =
		options;
	const owned = createDisposableStore();
	const views = new Map<string, EngineView>();
	let list: VmListSnapshot | undefined;
	let heldCount = 0;
	let configuration = follower.current;
	let current = orderSettingsOf(configuration);
	let targets = targetsOf(configuration);

	// Derived from the configuration only when it has changed.
	const refresh = () => {
		if (follower.current !== configuration) {
			configuration = follower.current;
			current = orderSettingsOf(configuration);
			targets = targetsOf(configuration);
		}
	};

	const engines = () =>
		[...views.values()].filter(({target}) => targets.has(target.id));
	const weightStore = new HttpWeightStore({
		url: settings.platformUrl,
		timeoutMs: settings.tableTimeoutMs,
	});
	const coordinator = createOrderCoordinator({
		table: options.table,
		clock,
		placement: () => current.placement,
		weights: () => current.weights,
		models: () => current.models,
		demand: () => demandFromReports(engines(), current.models),
		engines,
		sizeBytes: async (model, version) => weightStore.sizeBytes(model, version),
		createCommandId: () => randomUUID(),
		vmInstanceId: settings.vmInstanceId,
		incarnation: options.processRunId,
		settings: () => current.lease,
		candidatesPerTarget: () => current.candidatesPerTarget,
		targets: () => targets,
		engineFor: (targetId) => registry.findEngine(targetId),
		peers: new TrpcLeasePeers({
			addressOf: (vmInstanceId) =>
				list?.vms.find((vm) => vm.instanceId === vmInstanceId)?.address,
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
			views.set(targetId, {
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

	const readStale = async () => {
		const nowMs = clock.nowMs();
		const stale = [...targets.values()].filter(
			({id, kind}) =>
				kind === 'engine' &&
				nowMs - (views.get(id)?.seenMs ?? Number.NEGATIVE_INFINITY) >=
					Math.min(readAfterMs, settings.pollIntervalMs),
		);
		for (let start = 0; start < stale.length; start += maxOpenReads) {
			const batch = stale.slice(start, start + maxOpenReads);
			await Promise.all(batch.map(async ({id}) => readReport(id)));
		}
	};

	const readList = async () => {
		try {
			list = await options.vmList.read();
			coordinator.recordVmList(list);
		} catch (error) {
			metrics.count('order_list_errors', {type: toProblem(error).type});
		}
	};

	const tick = async () => {
		refresh();
		if (!follower.isCaughtUp) {
			return;
		}

		try {
			await coordinator.tick();
		} catch (error) {
			metrics.count('order_tick_errors', {type: toProblem(error).type});
		}

		if (coordinator.heldCount !== heldCount) {
			heldCount = coordinator.heldCount;
			logger.info('number of leases held has changed', {heldCount});
		}
	};

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
		owned.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	return {
		confirmStop: (question) => coordinator.confirmStop(question),
		recordReport,
		start() {
			every(settings.pollIntervalMs, readList);
			every(settings.pollIntervalMs, readStale);
			every(tickMs, tick);
			void readList();
		},
		async stop() {
			coordinator.startDraining();
			for (let turn = 0; turn < stopTicks; turn++) {
				if (coordinator.heldCount === 0) {
					break;
				}

				await tick();
			}

			owned.dispose();
		},
		dispose() {
			owned.dispose();
		},
	};
}
