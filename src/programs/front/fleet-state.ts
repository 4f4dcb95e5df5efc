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
import type {TableSyncState} from '../../decisions/fleet/index.js';
import {createLengthStatistics} from '../../decisions/routing/index.js';
import {
	type ConfigurationState,
	createConfigurationState,
	createRetryShare,
	createTargetDirectory,
	type ReadReason,
	type RetryShare,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {StoreClient} from '../../platform/index.js';
import {createTargetSelector, type TargetSelector} from './target-selector.js';
import type {FrontSettings} from './front-settings.js';
import {startFleetExchange} from './fleet-exchange.js';
import type {FleetExchange} from './fleet-exchange-types.js';
import {createPeerRecovery} from './peer-recovery.js';
import {watchStore} from './store-watch.js';
import type {StoreWatch} from './store-watch-types.js';

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
	/** A table was read from the store. */
	readonly onTableRead: (table: string, reason: ReadReason) => void;
	readonly logger: Logger;
};

/** What this VM knows of the deployment, from the store, from its peers and by itself. */
export type FleetState = Disposable & {
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly targetSelector: TargetSelector;
	readonly retryShare: RetryShare;
	readonly watch: StoreWatch;
	/** Monotonic time since which this VM has run without a pause, in milliseconds. */
	resumedMs(): number;
	/** Closes the connections to the store. */
	closeStore(): Promise<void>;
};

const lapseGraceMs = 2000;
/** Part of the time for leaving targets after which a VM reads by itself what it is not told. */
const maxAgePart = 0.7;
/** The same part for the waits of readers and for the beacons that pass on what they know. */
const waitPart = 0.25;
const unreachableMs = 1000;
const lingerMs = 30_000;

const unknownTable: TableSyncState = {
	version: 0,
	changeVersion: 0,
	ageMs: Infinity,
};

/** Starts to keep the state up to date. */
export function startFleetState(options: FleetStateOptions): FleetState {
	const {settings, instanceId, clock, timers, random, logger} = options;
	const {vm} = settings;
	const owned = createDisposableStore();
	// The exchange and the watch need each other; nothing is heard before both exist.
	const created: {watch?: StoreWatch} = {};
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
	const detector = createOutlierDetector({
		clock,
		maxFailures: 2,
		slowFactor: 4,
		slowMinMs: 250,
		ejectionMs: 800,
		maxEjectionMs: 4000,
		maxEjectedFraction: 0.6,
		onEjected(targetId, untilMs) {
			logger.warn('target ejected', {
				target: targetId,
				forMs: Math.round(untilMs - clock.nowMs()),
			});
		},
	});
	const waitMs = () =>
		Math.min(settings.storeWaitMs, options.bounds().drainMs * waitPart);
	const retryBounds = () => {
		const bounds = options.bounds();
		return {
			ratio: bounds.retryRatio,
			extra: bounds.retryExtra,
			windowMs: bounds.retryWindowMs,
		};
	};

	const fleet: FleetExchange = owned.add(
		startFleetExchange({
			vm,
			instanceId,
			clock,
			timers,
			random,
			store,
			retryBounds,
			beaconIntervalMs: () => options.bounds().drainMs * waitPart,
			engines: (service) => targetSelector.engines(service),
			reading: () => created.watch?.reading ?? 'idle',
			configurationMark: () =>
				created.watch?.configurationBelief.state ?? unknownTable,
			targetsMark: () => created.watch?.targetsBelief.state ?? unknownTable,
			onMarks(from, configurationMark, targetsMark) {
				recovery.heard(from, configurationMark, targetsMark);
			},
			onRows(changes) {
				created.watch?.applyPeerRows(changes);
			},
			onConfiguration(change) {
				created.watch?.applyPeerConfiguration(change);
			},
			logger,
		}),
	);
	const targetSelector = createTargetSelector({
		availabilityZone: vm.availabilityZone,
		clock,
		directory,
		detector,
		statistics: createLengthStatistics(),
		random,
		placeClient: () => fleet.placeClient,
		runReporter: () => fleet.runReporter,
	});
	const retryShare = createRetryShare({
		clock,
		bounds: retryBounds,
		vmCount: () => fleet.members.settledVmCount,
		askPool: (service, onAnswer) =>
			fleet.retryClient.request(service, onAnswer),
	});
	const storeWatch = owned.add(
		watchStore({
			store,
			clock,
			timers,
			random,
			waitMs,
			maxAgeMs: () => options.bounds().drainMs * maxAgePart,
			isReader: (reading) => fleet.members.isStoreReader(reading),
			areReadersLost: (reading) => fleet.members.haveReadersLostStore(reading),
			onStoreLost() {
				fleet.announceStoreLost();
			},
			onRows(changes) {
				if (storeWatch.reading === 'reading') {
					fleet.relay.broadcastRows(changes);
				}
			},
			onTableRead: options.onTableRead,
			onConfigurationChange(change) {
				if (change && storeWatch.reading === 'reading') {
					fleet.relay.broadcastConfiguration(change);
				}

				fleet.tellMarks();
			},
			configuration,
			directory,
			logger,
		}),
	);
	created.watch = storeWatch;
	const recovery = createPeerRecovery({clock, watch: storeWatch, logger});

	return {
		configuration,
		directory,
		detector,
		targetSelector,
		retryShare,
		watch: storeWatch,
		resumedMs: () => fleet.resumedMs(),
		dispose() {
			owned.dispose();
		},
		async closeStore() {
			await store.close();
		},
	};
}
