import type {
	ClassSettings,
	Contract,
	CostWeights,
	Delivery,
	ProblemError,
} from '../../common/index.js';
import type {TokenReservation} from '../contracts/index.js';
import type {WaitingRequest} from './admission-queue.js';
import type {LengthDistribution} from './length-distribution.js';
import type {StreamForecast} from './stream-forecast.js';

/** A generation as routing sees it. */
export type RoutingRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly model: string;
	readonly promptTokens: number;
	/** Hashes of the prompt's prefixes, shortest first. */
	readonly prefixHashes: readonly string[];
	readonly maxTokens: number;
	readonly delivery: Delivery;
};

/** Where a generation is to run. */
export type Route = {
	readonly targetId: string;
	readonly generationId: string;
	/** Smaller is more important. */
	readonly priority: number;
};

/** Settings that routing needs for a client account and class. */
export type RoutingSettings = {
	readonly contract: Contract;
	readonly classSettings: ClassSettings;
	readonly weights: CostWeights;
};

/** A generation that this VM has open at an engine. */
export type OpenGeneration = {
	readonly request: RoutingRequest;
	readonly targetId: string;
	readonly distribution: LengthDistribution;
	readonly reservation: TokenReservation;
	/** Output tokens that were charged to the account's place in the queue. */
	readonly queueChargedTokens: number;
	readonly shareWeight: number;
	readonly forecast: StreamForecast;
	forecastAtTokens: number;
	chargedTokens: number;
	forecastAtMs: number | undefined;
	/** Tokens expected in the next minute. */
	nextMinuteTokens: number;
};

/** A request in the queue of this VM. */
export type PendingRequest = WaitingRequest & {
	readonly request: RoutingRequest;
	readonly settings: RoutingSettings;
	readonly distribution: LengthDistribution;
	readonly forecast: StreamForecast;
	readonly avoidTargetId: string | undefined;
	/** True once the caller no longer wants a place. */
	withdrawn: boolean;
	readonly onPlaced: (route: Route) => void;
	readonly onRefused: (problem: ProblemError) => void;
	readonly reservation: TokenReservation;
};
