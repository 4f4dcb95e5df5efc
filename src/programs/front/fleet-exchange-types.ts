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
	PlacementClient,
	RetryClient,
	StoreReadState,
	TableSyncState,
} from '../../decisions/fleet/index.js';
import type {EngineEntry} from '../../decisions/scheduling/index.js';
import type {RelayedRows} from '../../decisions/serving/index.js';
import type {MarksListener} from './membership-protocol.js';
import type {RunReporter} from './run-reporter.js';
import type {ConfigurationChange} from './store-watch-types.js';
import type {StoreRelay} from './store-relay.js';

/** What the exchange works with. */
export type FleetExchangeOptions = {
	readonly vm: VmSettings;
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly store: RowStore;
	/** Extra repeated sends that the whole fleet has in a window. */
	readonly retryBounds: () => {
		readonly extra: number;
		readonly windowMs: number;
	};
	/** Interval of beacons, in milliseconds. */
	readonly beaconIntervalMs: () => number;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	readonly reading: () => StoreReadState;
	readonly configurationMark: () => TableSyncState;
	readonly targetsMark: () => TableSyncState;
	/** A VM told how far it is with the tables. */
	readonly onMarks: MarksListener;
	/** A VM that reads the store told of changes of the targets. */
	readonly onRows: (changes: RelayedRows) => void;
	/** A VM that reads the store told of a configuration. */
	readonly onConfiguration: (change: ConfigurationChange) => void;
	readonly logger: Logger;
};

/** The other VMs: who has which duty, where generations go, and what the store says. */
export type FleetExchange = Disposable & {
	readonly members: MemberList;
	readonly placeClient: PlacementClient;
	readonly retryClient: RetryClient;
	readonly runReporter: RunReporter;
	/** What this VM reads from the store is passed on here. */
	readonly relay: StoreRelay;
	/** Monotonic time since which this VM has run without a pause, in milliseconds. */
	resumedMs(): number;
	/** Tells all VMs soon how far the store is. */
	tellMarks(): void;
	/** Tells the others at once that this VM, which reads the store for them, has lost it. */
	announceStoreLost(): void;
};
