import {randomUUID} from 'node:crypto';
import type {Metrics} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type LoadReport,
	type ObjectStore,
	type RandomSource,
	type TargetDescription,
	toProblem,
} from '../../common/index.js';
import {
	createGenerationPlacer,
	createGenerationRouter,
	createLengthStatistics,
	type GenerationRouter,
	type RoutingSettings,
} from '../../decisions/routing/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import type {GenerationPlacer} from '../../decisions/streams/index.js';
import {createExplainedPlacer} from './explained-placer.js';
import type {MembershipLoop} from './membership-loop.js';
import type {EntrySettings} from './settings.js';
import type {TargetsRegistry} from './targets-registry.js';

/** Dependencies and settings of `createGenerationRouting`. */
export type GenerationRoutingOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly registry: TargetsRegistry;
	readonly membership: MembershipLoop;
	readonly objects: ObjectStore;
	readonly explainLog: ExplainLog;
	/**
	 * Called with every load report that was read.
	 * @param readMs - monotonic time at which the read began, in milliseconds
	 */
	readonly onReport: (
		targetId: string,
		report: LoadReport,
		readMs: number,
	) => void;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => RoutingSettings;
};

/** Routes generations in a running daemon: polls the engines, and runs the router. */
export type GenerationRouting = Disposable & {
	readonly placer: GenerationPlacer;
	readonly engines: GenerationRouter['engines'];
	/** Applies the targets of a new configuration. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** Restores the length statistics that a VM of the region stored last; a failure is only counted. */
	restore(): Promise<void>;
};

const tickMs = 25;
const reportIntervalMs = 500;
const cacheEventsIntervalMs = 1000;
const fleetPositionIntervalMs = 1000;
const snapshotIntervalMs = 60_000;
/** Source name under which the activity of all peers together is recorded. */
const peersSourceName = 'others';

/** Creates the routing, and starts to poll the engines and to store the length statistics. */
export function createGenerationRouting(
	options: GenerationRoutingOptions,
): GenerationRouting {
	const {settings, clock, metrics, registry, membership, objects} = options;
	const disposables = createDisposableStore();
	const statistics = createLengthStatistics();
	const snapshotName = `length-statistics/${settings.region}`;
	const openPolls = new Set<string>();
	let fleetPosition = membership.fleetPosition();
	const router = createGenerationRouter({
		clock,
		random: options.random,
		fleetPosition: () => fleetPosition,
		availabilityZone: settings.availabilityZone,
		ledger: membership.ledger,
		statistics,
		settingsFor: options.settingsFor,
		createGenerationId: () => randomUUID(),
	});
	const {engines} = router;
	const lastPreemptionTotals = new Map<string, number>();
	const explainedPlacer = createExplainedPlacer(
		createGenerationPlacer(router, (id) => registry.findEngine(id)),
		options.explainLog,
		clock,
	);

	const every = (intervalMs: number, run: () => void) => {
		const timer = setInterval(run, intervalMs);
		disposables.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	/**
	 * Calls an engine unless an earlier call with the same key is still open. Failures are counted.
	 * @param key - identifies the kind of the call and the engine
	 */
	const poll = async (key: string, call: () => Promise<void>) => {
		if (openPolls.has(key)) {
			return;
		}

		openPolls.add(key);
		try {
			await call();
		} catch (error) {
			metrics.count('engine_poll_errors', {type: toProblem(error).type});
		} finally {
			openPolls.delete(key);
		}
	};

	const recordPreemptions = (targetId: string, report: LoadReport) => {
		const {preemptionsTotal} = report;
		const previousTotal =
			lastPreemptionTotals.get(targetId) ?? preemptionsTotal;
		lastPreemptionTotals.set(targetId, preemptionsTotal);
		if (preemptionsTotal > previousTotal) {
			const count = preemptionsTotal - previousTotal;
			metrics.count('preemptions', {target: targetId}, count);
			options.explainLog.add({
				atWallMs: clock.wallMs(),
				kind: 'preemption',
				subject: targetId,
				cause: `KV cache holds ${report.usedTokens} of ${report.capacityTokens} tokens`,
				result: `${count} generations preempted, ${report.waitingCount} waiting`,
			});
		}
	};

	const pollReports = () => {
		const peerActivity = [...engines.all()].map(({id}) =>
			membership.activity.peerActivity(id, clock.nowMs()),
		);
		engines.recordActivity(peersSourceName, peerActivity, clock.nowMs());
		for (const {id} of engines.all()) {
			void poll(`load ${id}`, async () => {
				const readMs = clock.nowMs();
				const report = await registry.findEngine(id)!.loadReport();
				options.onReport(id, report, readMs);
				recordPreemptions(id, report);
				engines.recordReport(id, report, clock.nowMs());
				if (report.leaving) {
					membership.recordTargetLeaving(id);
				}
			});
		}
	};

	const pollCacheEvents = () => {
		for (const {id, affinity} of engines.all()) {
			void poll(`cache ${id}`, async () => {
				const after = affinity.lastSequence;
				const events = await registry.findEngine(id)!.cacheEvents(after);
				engines.recordCacheEvents(id, events, clock.nowMs());
			});
		}
	};

	const storeSnapshot = async () => {
		try {
			await objects.put(snapshotName, statistics.snapshot());
		} catch (error) {
			metrics.count('object_store_errors', {type: toProblem(error).type});
		}
	};

	membership.setActivitySource(() => engines.ownActivity());
	every(tickMs, () => {
		if (router.queueLength > 0) {
			router.tick();
		}
	});
	every(reportIntervalMs, pollReports);
	every(cacheEventsIntervalMs, pollCacheEvents);
	every(fleetPositionIntervalMs, () => {
		fleetPosition = membership.fleetPosition();
	});
	every(snapshotIntervalMs, () => {
		void storeSnapshot();
	});

	return {
		engines,
		placer: {
			...explainedPlacer,
			ended(generationId, outcome, producedTokens) {
				metrics.count('generations', {outcome});
				explainedPlacer.ended(generationId, outcome, producedTokens);
			},
		},
		update(descriptions) {
			engines.update(descriptions);
		},
		async restore() {
			try {
				const snapshot = await objects.get(snapshotName);
				if (snapshot !== undefined) {
					statistics.restore(snapshot);
				}
			} catch (error) {
				metrics.count('object_store_errors', {type: toProblem(error).type});
			}
		},
		dispose() {
			disposables.dispose();
		},
	};
}
