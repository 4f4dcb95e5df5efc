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

/** Place of a VM among the entry VMs of its region. */
export type FleetPosition = {
	/** Entry VMs that are heard of, this one included. */
	readonly vmCount: number;
	/** Place in the order of their names, from 0. */
	readonly rank: number;
};

/** What a router works with. */
export type GenerationRouterOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Place of this VM among the entry VMs of its region. */
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

/** Receives the answer to a request for a place. */
export type RoutingCallbacks = {
	onPlaced(route: Route): void;
	/** Called with `not-run`, `rate-limited` or `unknown-model`. */
	onRefused(problem: ProblemError): void;
};

/** Admits generations and chooses engines, on one VM. */
export type GenerationRouter = {
	readonly engines: EngineTable;
	readonly queueLength: number;
	readonly openCount: number;
	submit(
		request: RoutingRequest,
		callbacks: RoutingCallbacks,
		avoidTargetId?: string,
	): Disposable;
	progressed(generationId: string, producedTokens: number): void;
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): void;
	/** Counts a generation that another VM placed. */
	adopt(
		request: RoutingRequest,
		targetId: string,
		generationId: string,
		position: number,
	): void;
	/** Serves the queue; called regularly and whenever news of the engines arrive. */
	tick(): void;
};
