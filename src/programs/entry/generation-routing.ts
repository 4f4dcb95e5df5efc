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

/** What the routing of generations works with. */
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
	 * Called with every load report.
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

/** Routing of generations in a running daemon. */
export type GenerationRouting = Disposable & {
	readonly placer: GenerationPlacer;
	readonly engines: GenerationRouter['engines'];
	/** Takes in the targets of a new configuration. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** Reads the statistics that the fleet stored last. */
	restore(): Promise<void>;
};

const tickMs = 25;
const reportIntervalMs = 500;
const cacheIntervalMs = 1000;
const fleetIntervalMs = 1000;
const snapshotIntervalMs = 60_000;
const othersName = 'others';

/** Creates the routing and begins to poll engines. */
export function createGenerationRouting(
	options: GenerationRoutingOptions,
): GenerationRouting {
	const {settings, clock, metrics, registry, membership, objects} = options;
	const owned = createDisposableStore();
	const statistics = createLengthStatistics();
	const snapshotName = `length-statistics/${settings.region}`;
	const polling = new Set<string>();
	let fleetPlace = membership.fleetPosition();
	const router = createGenerationRouter({
		clock,
		random: options.random,
		fleetPosition: () => fleetPlace,
		availabilityZone: settings.availabilityZone,
		ledger: membership.ledger,
		statistics,
		settingsFor: options.settingsFor,
		createGenerationId: () => randomUUID(),
	});
	const {engines} = router;
	const preemptions = new Map<string, number>();
	const inner = createExplainedPlacer(
		createGenerationPlacer(router, (id) => registry.findEngine(id)),
		options.explainLog,
		clock,
	);

	const every = (intervalMs: number, run: () => void) => {
		const timer = setInterval(run, intervalMs);
		owned.add({
			dispose() {
				clearInterval(timer);
			},
		});
	};

	/** Calls an engine unless the same call is still open. */
	const poll = async (key: string, call: () => Promise<void>) => {
		if (polling.has(key)) {
			return;
		}

		polling.add(key);
		try {
			await call();
		} catch (error) {
			metrics.count('engine_poll_errors', {type: toProblem(error).type});
		} finally {
			polling.delete(key);
		}
	};

	const notePreemptions = (targetId: string, report: LoadReport) => {
		const {preemptionsTotal} = report;
		const before = preemptions.get(targetId) ?? preemptionsTotal;
		preemptions.set(targetId, preemptionsTotal);
		if (preemptionsTotal > before) {
			const count = preemptionsTotal - before;
			metrics.count('preemptions', {target: targetId}, count);
			options.explainLog.add({
				atWallMs: clock.wallMs(),
				kind: 'preemption',
				subject: targetId,
				cause: `memory holds ${report.usedTokens} of ${report.capacityTokens} tokens`,
				result: `${count} generations preempted, ${report.waitingCount} wait`,
			});
		}
	};

	const pollReports = () => {
		const others = [...engines.all()].map(({id}) =>
			membership.activity.peerActivity(id, clock.nowMs()),
		);
		engines.recordActivity(othersName, others, clock.nowMs());
		for (const {id} of engines.all()) {
			void poll(`load ${id}`, async () => {
				const readMs = clock.nowMs();
				const report = await registry.findEngine(id)!.loadReport();
				options.onReport(id, report, readMs);
				notePreemptions(id, report);
				engines.recordReport(id, report, clock.nowMs());
				if (report.leaving) {
					membership.recordTargetLeaving(id);
				}
			});
		}
	};

	const pollCaches = () => {
		for (const {id, affinity} of engines.all()) {
			void poll(`cache ${id}`, async () => {
				const after = affinity.lastSequence;
				const events = await registry.findEngine(id)!.cacheEvents(after);
				engines.recordCacheEvents(id, events, clock.nowMs());
			});
		}
	};

	const store = async () => {
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
	every(cacheIntervalMs, pollCaches);
	every(fleetIntervalMs, () => {
		fleetPlace = membership.fleetPosition();
	});
	every(snapshotIntervalMs, () => {
		void store();
	});

	return {
		engines,
		placer: {
			...inner,
			ended(generationId, outcome, producedTokens) {
				metrics.count('generations', {outcome});
				inner.ended(generationId, outcome, producedTokens);
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
			owned.dispose();
		},
	};
}
