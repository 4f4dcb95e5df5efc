import type {
	Clock,
	Disposable,
	ProblemError,
	RandomSource,
} from '../../common/index.js';
import type {ContractLedger} from '../contracts/index.js';
import type {EngineTable} from './engine-table.js';
import type {LengthStatistics} from './length-statistics.js';
import type {GenerationOutcome} from './open-generations.js';
import type {RoutingTuning} from './routing-tuning.js';
import type {Route, RoutingRequest, RoutingSettings} from './types.js';

/** Position of a VM among the entry VMs of its region. */
export type FleetPosition = {
	/** Number of reachable entry VMs, including this one. */
	readonly vmCount: number;
	/** Rank of this VM in the order of their names, from 0. */
	readonly rank: number;
};

export type GenerationRouterOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Current position of this VM among the entry VMs of its region. */
	readonly fleetPosition: () => FleetPosition;
	/** Availability zone of this VM. */
	readonly availabilityZone: string;
	readonly ledger: ContractLedger;
	readonly statistics: LengthStatistics;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => RoutingSettings;
	readonly createGenerationId: () => string;
	readonly tuning?: RoutingTuning;
};

/** Receives the decision on a submitted request; exactly one of the methods is called. */
export type RoutingCallbacks = {
	onPlaced(route: Route): void;
	/** Called with `not-run`, `rate-limited` or `unknown-model`. */
	onRefused(problem: ProblemError): void;
};

/** Admits generations and chooses engines for them, on one VM. */
export type GenerationRouter = {
	readonly engines: EngineTable;
	/** Number of waiting requests. */
	readonly queueLength: number;
	/** Number of open generations. */
	readonly openCount: number;
	/**
	 * Submits a request; the decision may be reported before `submit` returns.
	 * @param avoidTargetId - engine to use only if there is no other
	 * @returns disposable that withdraws a waiting request
	 */
	submit(
		request: RoutingRequest,
		callbacks: RoutingCallbacks,
		avoidTargetId?: string,
	): Disposable;
	/** The generation has produced tokens; called every few tokens. */
	progressed(generationId: string, producedTokens: number): void;
	/** The generation has ended; frees its share of the engine and charges its tokens. */
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): void;
	/**
	 * Takes over a generation that another VM placed; ignored if it is open or the engine is unknown.
	 * @param receivedCount - number of tokens that the caller has
	 */
	adopt(
		request: RoutingRequest,
		targetId: string,
		generationId: string,
		receivedCount: number,
	): void;
	/** Refuses expired requests and places waiting ones; called periodically and after engine updates. */
	tick(): void;
};
