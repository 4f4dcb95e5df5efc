import type {Logger} from '../../adapters/system/index.js';
import type {
	Clock,
	Disposable,
	RandomSource,
	RowStore,
	Timers,
	VmSettings,
} from '../../common/index.js';
import type {
	MemberList,
	PeerTableStates,
	PermitClient,
	PlacementClient,
	RetryClient,
	RetryCredit,
	StoreReadState,
} from '../../decisions/fleet/index.js';
import type {
	CallMeter,
	ZoneSpillover,
} from '../../decisions/zone-spillover/index.js';
import type {CrashEvidence} from '../../decisions/quarantine/index.js';
import type {
	AvoidedTargets,
	CallObserver,
} from '../../decisions/fleet-health/index.js';
import type {RateLimitTable} from '../../decisions/rate-limits/index.js';
import type {EngineEntry} from '../../decisions/scheduling/index.js';
import type {
	EvacuationList,
	RelayedRows,
} from '../../decisions/serving/index.js';
import type {PeerTableStatesListener} from './membership-protocol.js';
import type {RunReporter} from './run-reporter.js';
import type {ConfigurationChange} from './store-watch-types.js';
import type {StoreRelay} from './store-relay.js';

export type FleetExchangeOptions = {
	readonly vm: VmSettings;
	/** Distinguishes restarts of this VM. */
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly store: RowStore;
	/** Retries that the whole fleet may make in a window, beyond a fixed fraction of its requests. */
	readonly retryBounds: () => {
		readonly extra: number;
		readonly windowMs: number;
	};
	/** Takes what this VM cedes to the fleet's retry pool out of its own share. */
	readonly takeUnusedRetries: () => readonly RetryCredit[];
	/** Interval of the coordinator's beacons, in milliseconds. */
	readonly beaconIntervalMs: () => number;
	/** Rate limits of targets, exchanged with the other VMs. */
	readonly rateLimits: RateLimitTable;
	/** Requests per second that a target may get from all VMs together; undefined without a limit. */
	readonly limitOf: (targetId: string) => number | undefined;
	/** Counts what this VM's calls show of the targets of plain services. */
	readonly callObserver: CallObserver;
	/** Targets that the coordinator says to avoid. */
	readonly avoidedTargets: AvoidedTargets;
	/** Service of a target; undefined if it is not known. */
	readonly serviceOf: (targetId: string) => string | undefined;
	/** Crashes of engines under prompt parts, exchanged with the other VMs. */
	readonly crashEvidence: CrashEvidence;
	/** Calls of this VM, and the decision that gets their sum over all VMs. */
	readonly zoneCalls: {
		readonly meter: CallMeter;
		readonly spillover: ZoneSpillover;
	};
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	readonly storeReadState: () => StoreReadState;
	readonly tableStates: () => PeerTableStates;
	/** Called with the table states in each heartbeat or beacon of another VM. */
	readonly onPeerTableStates: PeerTableStatesListener;
	/** Called with changes of the targets that another VM has read from the store. */
	readonly onPeerRows: (changes: RelayedRows) => void;
	/** Called with a configuration that another VM has read from the store. */
	readonly onPeerConfiguration: (change: ConfigurationChange) => void;
	/** Called with the evacuated zones that another VM has read from the store. */
	readonly onPeerEvacuations: (list: EvacuationList) => void;
	readonly logger: Logger;
};

/**
 * Message exchange with the other VMs: membership, placement of generations, the shared retry budget
 * and relayed changes of the store.
 */
export type FleetExchange = Disposable & {
	readonly members: MemberList;
	readonly placementClient: PlacementClient;
	readonly retryClient: RetryClient;
	readonly permitClient: PermitClient;
	readonly runReporter: RunReporter;
	/** Sends what this VM reads from the store to the other VMs. */
	readonly relay: StoreRelay;
	/** Monotonic time at which this VM resumed after its last pause, in milliseconds; -Infinity before. */
	resumedMs(): number;
	/** Broadcasts the state of the tables at once if this VM is the coordinator. */
	broadcastSyncState(): void;
	/** Announces at once, if this VM is or may become a store reader, that it can no longer read. */
	announceStoreLost(): void;
};
