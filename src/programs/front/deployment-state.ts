import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type RandomSource,
	type ServingBounds,
	storeRevision,
	type Timers,
} from '../../common/index.js';
import type {
	PermitClient,
	TableSyncState,
} from '../../decisions/fleet/index.js';
import type {PermitDecision} from '../../decisions/rate-limits/index.js';
import {
	type CrashEvidence,
	createCrashEvidence,
} from '../../decisions/quarantine/index.js';
import {createLengthStatistics} from '../../decisions/routing/index.js';
import {
	type CallTargetSearch,
	type ConfigurationState,
	createCallTargetSearch,
	createConfigurationState,
	createContinuationTurns,
	createRetryShare,
	createServiceStandings,
	createTargetDirectory,
	type ReadReason,
	type RequestContinuationTurn,
	type RetryShare,
	type ServiceStandings,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {StoreClient} from '../../platform/index.js';
import {createEngineSelector} from './engine-selector.js';
import type {EngineSelector} from './engine-selector-types.js';
import {
	createFrontEligibility,
	type FrontEligibility,
} from './front-eligibility.js';
import type {FrontSettings} from './front-settings.js';
import {startFleetExchange} from './fleet-exchange.js';
import type {FleetExchange} from './fleet-exchange-types.js';
import {createTableRecovery} from './table-recovery.js';
import {createTargetHealth, type TargetHealth} from './target-health.js';
import {createZoneCalls, type ZoneCalls} from './zone-calls.js';
import {startStoreWatch} from './start-store-watch.js';
import type {StoreWatch} from './store-watch-types.js';

export type DeploymentStateOptions = {
	readonly settings: FrontSettings;
	/** Distinguishes restarts of this VM. */
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	/** Bounds in force; they change when the boot file is reloaded. */
	readonly bounds: () => ServingBounds;
	/** Called after each read of a table from the store. */
	readonly onTableRead: (table: string, reason: ReadReason) => void;
	/** Called after each decision on a permit to send a request to a target with a rate limit. */
	readonly onPermitDecision: (decision: PermitDecision) => void;
	readonly logger: Logger;
};

/** State of the deployment as this VM knows it: from the store, from its peers and by its own requests. */
export type DeploymentState = FrontEligibility & {
	readonly configuration: ConfigurationState;
	readonly directory: TargetDirectory;
	readonly targetHealth: TargetHealth;
	readonly engineSelector: EngineSelector;
	readonly retryShare: RetryShare;
	readonly standings: ServiceStandings;
	readonly crashEvidence: CrashEvidence;
	readonly callTargets: CallTargetSearch;
	readonly zoneCalls: ZoneCalls;
	readonly requestContinuationTurn: RequestContinuationTurn;
	readonly storeWatch: StoreWatch;
	/** Largest number of VMs that may be serving, this one included. */
	vmCount(): number;
	/** Monotonic time at which this VM resumed after its last pause, in milliseconds; -Infinity before. */
	resumedMs(): number;
	/** Closes the connections to the store. */
	closeStore(): Promise<void>;
};

/** Time after the store's return in which targets write their lapsed entries again, in milliseconds. */
const lapseGraceMs = 2000;
/**
 * Age at which a VM reads the tables itself instead of relying on the store readers, as a fraction of
 * `drainMs`, the time after which a leaving target must get no more requests.
 */
const maxAgeFraction = 0.7;
/** Duration of the readers' long polls and interval of the beacons, as a fraction of `drainMs`. */
const waitFraction = 0.25;
/** Time for which a target that refused a connection gets no requests, in milliseconds. */
const unreachableMs = 1000;
/** Time for which the connections to a target that has left are kept, in milliseconds. */
const lingerMs = 30_000;

const unsyncedTable: TableSyncState = {
	revision: storeRevision(0),
	changeVersion: 0,
	ageMs: Infinity,
};

/** Connects to the store and the peers, and keeps the state up to date until disposed. */
export function startDeploymentState(
	options: DeploymentStateOptions,
): DeploymentState {
	const {settings, instanceId, clock, timers, random, logger} = options;
	const {vm} = settings;
	const owned = createDisposableStore();
	// The exchange and the store watch depend on each other; no message is handled before both exist.
	const late: {storeWatch?: StoreWatch} = {};
	const store = new StoreClient({
		address: vm.storeAddress,
		timeoutMs: settings.storeTimeoutMs,
		onMalformedEra(value) {
			logger.warn('era of the store ignored', {value});
		},
	});
	const configuration = createConfigurationState();
	const directory = createTargetDirectory({
		clock,
		lapseGraceMs,
		unreachableMs,
		lingerMs,
	});
	const targetHealth = owned.add(createTargetHealth(clock, random, logger));
	const {detector, observer, avoidedTargets} = targetHealth;
	const {statements, evacuatedZones, coldTargets, eligibility} = owned.add(
		createFrontEligibility({
			clock,
			directory,
			configuration,
			bounds: options.bounds,
			vm,
		}),
	);
	const standings = createServiceStandings({directory, eligibility, random});
	const zoneCalls = createZoneCalls({
		availabilityZone: vm.availabilityZone,
		clock,
		random,
		standings,
		detector,
	});
	const crashEvidence = owned.add(createCrashEvidence(clock));
	const waitMs = () =>
		Math.min(settings.storeWaitMs, options.bounds().drainMs * waitFraction);
	const retryBounds = () => {
		const bounds = options.bounds();
		return {
			ratio: bounds.retryRatio,
			extra: bounds.retryExtra,
			windowMs: bounds.retryWindowMs,
		};
	};

	const fleetExchange: FleetExchange = owned.add(
		startFleetExchange({
			vm,
			instanceId,
			clock,
			timers,
			random,
			store,
			retryBounds,
			takeUnusedRetries: () => retryShare.takeUnused(),
			rateLimits: statements.rateLimits,
			limitOf: eligibility.limitOf,
			callObserver: observer,
			avoidedTargets,
			serviceOf: (targetId) => directory.get(targetId)?.entry.service,
			crashEvidence,
			zoneCalls,
			beaconIntervalMs: () => options.bounds().drainMs * waitFraction,
			engines: (service) => engineSelector.engines(service),
			storeReadState: () => late.storeWatch?.readState ?? 'idle',
			tableStates: () => ({
				configuration:
					late.storeWatch?.configurationSync.state ?? unsyncedTable,
				targets: late.storeWatch?.targetsSync.state ?? unsyncedTable,
				operatorVersion: configuration.current?.version ?? 0,
			}),
			onPeerTableStates(from, states) {
				tableRecovery.handlePeerTableStates(from, states);
			},
			onPeerRows(changes) {
				late.storeWatch?.applyPeerRows(changes);
			},
			onPeerConfiguration(change) {
				late.storeWatch?.applyPeerConfiguration(change);
			},
			onPeerEvacuations(list) {
				late.storeWatch?.applyPeerEvacuations(list);
			},
			logger,
		}),
	);
	const engineSelector = createEngineSelector({
		availabilityZone: vm.availabilityZone,
		clock,
		directory,
		detector,
		statements,
		eligibility,
		standings,
		statistics: createLengthStatistics(),
		placementClient: () => fleetExchange.placementClient,
		permitClient: () => fleetExchange.permitClient,
		runReporter: () => fleetExchange.runReporter,
	});
	const requestPermit: PermitClient['request'] = (request, onDecision) =>
		fleetExchange.permitClient.request(request, (decision, decidedBy) => {
			options.onPermitDecision(decision);
			onDecision(decision, decidedBy);
		});
	const requestContinuationTurn = createContinuationTurns({
		timers,
		eligibility,
		requestPermit,
	});
	const callTargets = createCallTargetSearch({
		availabilityZone: vm.availabilityZone,
		drawZone: zoneCalls.drawZone,
		clock,
		timers,
		random,
		directory,
		detector,
		avoidedTargets,
		eligibility,
		standings,
		requestPermit,
	});
	const retryShare: RetryShare = createRetryShare({
		clock,
		bounds: retryBounds,
		vmCount: () => fleetExchange.members.settledVmCount,
		askPool: (service, onAnswer) =>
			fleetExchange.retryClient.request(service, onAnswer),
	});
	const storeWatch = owned.add(
		startStoreWatch({
			store,
			clock,
			timers,
			random,
			waitMs,
			maxAgeMs: () => options.bounds().drainMs * maxAgeFraction,
			fleetExchange,
			onTableRead: options.onTableRead,
			configuration,
			directory,
			evacuatedZones,
			logger,
		}),
	);
	late.storeWatch = storeWatch;
	const tableRecovery = createTableRecovery({clock, storeWatch, logger});

	return {
		configuration,
		directory,
		targetHealth,
		engineSelector,
		retryShare,
		statements,
		evacuatedZones,
		eligibility,
		coldTargets,
		standings,
		crashEvidence,
		vmCount: () => fleetExchange.members.vmCount,
		callTargets,
		zoneCalls,
		requestContinuationTurn,
		storeWatch,
		resumedMs: () => fleetExchange.resumedMs(),
		dispose() {
			owned.dispose();
		},
		async closeStore() {
			await store.close();
		},
	};
}
