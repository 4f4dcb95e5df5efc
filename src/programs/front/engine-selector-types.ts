import type {Clock, Disposable, TargetEntry} from '../../common/index.js';
import type {
	PermitClient,
	PlacementClient,
} from '../../decisions/fleet/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {LengthStatistics} from '../../decisions/routing/index.js';
import type {EngineEntry} from '../../decisions/scheduling/index.js';
import type {
	AdmittedRequest,
	PlacementListener,
	RunTracker,
	ServiceStandings,
	StreamRun,
	TargetDirectory,
} from '../../decisions/serving/index.js';
import type {
	AllowedRegions,
	TargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import type {
	ClosedRefusal,
	TargetStatements,
} from '../../decisions/target-statements/index.js';
import type {RunReporter} from './run-reporter.js';

/**
 * Requests engines for generations from the coordinator, and tracks the requests sent to them. A run is a
 * generation on its engine.
 */
export type EngineSelector = {
	/** Sets the KV cache capacity of the engines of a service, in tokens. */
	setCapacity(service: string, capacityTokens: number): void;
	/**
	 * Engines of a service that accept requests now, those that leave only if there is no other, and none in an
	 * evacuated availability zone.
	 */
	engines(service: string): readonly EngineEntry[];
	/** Refusal of a request if every engine of the service says that it takes none, or none may be used. */
	closedRefusal(
		service: string,
		allowedRegions: AllowedRegions,
	): ClosedRefusal | undefined;
	/**
	 * Requests an engine for a generation.
	 * @returns disposing it cancels the request
	 */
	placeRun(
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
		listener: PlacementListener,
	): Disposable;
	/**
	 * Requests an engine for a copy of a run's KV cache.
	 * @returns undefined if no engine has room
	 */
	placeCopy(
		run: StreamRun,
		avoid: ReadonlySet<string>,
	): Promise<TargetEntry | undefined>;
	/** Reports a run to the coordinator until disposed. */
	trackRun(run: StreamRun): RunTracker;
	/** Adds the length of a complete response to the length statistics. */
	recordOutputLength(admitted: AdmittedRequest, eventCount: number): void;
	/** Expected length of the response, in tokens. */
	expectedOutputTokens(admitted: AdmittedRequest): number;
};

export type EngineSelectorOptions = {
	readonly availabilityZone: string;
	readonly clock: Clock;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly statements: Pick<TargetStatements, 'isLeaving'>;
	readonly eligibility: Pick<
		TargetEligibility,
		'isEvacuated' | 'isInAllowedRegion' | 'isOnlyCold' | 'standingOf'
	>;
	readonly standings: ServiceStandings;
	readonly statistics: LengthStatistics;
	readonly placementClient: () => PlacementClient;
	readonly permitClient: () => Pick<PermitClient, 'turnsOf'>;
	readonly runReporter: () => RunReporter;
};
