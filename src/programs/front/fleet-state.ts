import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
	type ServingBounds,
	type Timers,
} from '../../common/index.js';
import {
	createOutlierDetector,
	type OutlierDetector,
} from '../../decisions/retries/index.js';
import {createLengthStatistics} from '../../decisions/routing/index.js';
import {
	type ConfigurationState,
	createConfigurationState,
	createRetryShare,
	createTargetDirectory,
	createTargetLoad,
	manyVms,
	otherZoneCostMs,
	type RetryShare,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {StoreClient} from '../../platform/index.js';
import {createFleetView, type FleetView} from './fleet-view.js';
import type {FrontSettings} from './front-settings.js';
import {type PeerLoads, startPeerLoads} from './peer-loads.js';
import {createPeerRecovery} from './peer-recovery.js';
import {type StoreWatch, watchStore} from './store-watch.js';

/** What the state is kept with. */
export type FleetStateOptions = {
	readonly settings: FrontSettings;
	/** Tells two lives of this VM apart. */
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Bounds in force; they may change. */
	readonly bounds: () => ServingBounds;
	readonly logger: Logger;
};

/** What this VM knows of the deployment, from the store, from its peers and by itself. */
export type FleetState = Disposable & {
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly view: FleetView;
	readonly retryShare: RetryShare;
	readonly watch: StoreWatch;
	/** Closes the connections to the store. */
	close(): Promise<void>;
};

const lapseGraceMs = 2000;
const longerWaitFactor = 2;
/** Part of the time for leaving targets after which a VM reads the targets by itself. */
const followerIntervalPart = 0.7;
const unreachableMs = 1000;
const lingerMs = 30_000;
const peerTimeoutMs = 4500;

/** Starts to keep the state up to date. */
export function startFleetState(options: FleetStateOptions): FleetState {
	const {settings, instanceId, clock, timers, random, logger} = options;
	const {vm} = settings;
	const owned = createDisposableStore();
	const store = new StoreClient({
		address: vm.storeAddress,
		timeoutMs: settings.storeTimeoutMs,
	});
	const configuration = createConfigurationState();
	const directory = createTargetDirectory({
		clock,
		lapseGraceMs,
		unreachableMs,
		lingerMs,
	});
	const load = createTargetLoad(clock, peerTimeoutMs);
	const detector = createOutlierDetector({
		clock,
		maxFailures: 2,
		slowFactor: 4,
		slowMinMs: 250,
		ejectionMs: 800,
		maxEjectionMs: 4000,
		maxEjectedShare: 0.6,
		onEjected(targetId, untilMs) {
			logger.warn('target ejected', {
				target: targetId,
				forMs: Math.round(untilMs - clock.nowMs()),
			});
		},
	});
	const peers: PeerLoads = owned.add(
		startPeerLoads({
			vm,
			instanceId,
			clock,
			timers,
			store,
			load,
			configuration,
			intervalMs: settings.digestIntervalMs,
			readsTargets: () => watch.readsTargets,
			onRows(rows) {
				for (const {targetId, entry, version} of rows) {
					directory.set(targetId, entry, version);
				}
			},
			onDigest(from, digest) {
				recovery.heard(from, digest);
			},
			onNewerConfiguration() {
				watch.readConfiguration();
			},
			logger,
		}),
	);
	const recovery = createPeerRecovery({
		clock,
		configuration,
		watch: () => watch,
		logger,
	});
	const view = createFleetView({
		availabilityZone: vm.availabilityZone,
		directory,
		load,
		detector,
		statistics: createLengthStatistics(),
		random,
		otherZoneCostMs: () => otherZoneCostMs(peers.vmCount),
		onPlaced() {
			peers.changed();
		},
	});
	const retryShare = createRetryShare({
		clock,
		bounds() {
			const bounds = options.bounds();
			return {
				ratio: bounds.retryRatio,
				extra: bounds.retryExtra,
				windowMs: bounds.retryWindowMs,
			};
		},
		vmCount: () => peers.vmCount,
	});
	const watch: StoreWatch = owned.add(
		watchStore({
			store,
			clock,
			timers,
			random,
			waitMs: () =>
				peers.vmCount < manyVms || peers.isRelay
					? settings.storeWaitMs
					: settings.storeWaitMs * longerWaitFactor,
			followerIntervalMs: () => options.bounds().drainMs * followerIntervalPart,
			isRelay: () => peers.isRelay,
			onRows(rows) {
				peers.relay(rows);
			},
			configuration,
			directory,
			logger,
		}),
	);

	return {
		configuration,
		directory,
		detector,
		view,
		retryShare,
		watch,
		dispose() {
			owned.dispose();
		},
		async close() {
			await store.close();
		},
	};
}
