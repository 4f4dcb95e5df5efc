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

/** Request for a generation, with the properties that routing uses. */
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

/** Routing decision for a generation. */
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

/** An open generation of this VM. */
export type OpenGeneration = {
	readonly request: RoutingRequest;
	readonly targetId: string;
	readonly distribution: LengthDistribution;
	readonly reservation: TokenReservation;
	/** Output tokens already charged to the account in the admission queue. */
	readonly queueChargedTokens: number;
	readonly shareWeight: number;
	readonly forecast: StreamForecast;
	/** Output at the last forecast update, in tokens. */
	forecastAtTokens: number;
	/** Output that has been charged to the account, in tokens. */
	chargedTokens: number;
	/** Monotonic time of the last forecast update, in milliseconds. */
	forecastAtMs: number | undefined;
	/** Expected output in the next minute, in tokens. */
	nextMinuteTokens: number;
};

/** A request in the admission queue of this VM. */
export type PendingRequest = WaitingRequest & {
	readonly request: RoutingRequest;
	readonly settings: RoutingSettings;
	readonly distribution: LengthDistribution;
	readonly forecast: StreamForecast;
	readonly avoidTargetId: string | undefined;
	/** True once the caller has withdrawn the request. */
	withdrawn: boolean;
	readonly onPlaced: (route: Route) => void;
	readonly onRefused: (problem: ProblemError) => void;
	readonly reservation: TokenReservation;
};
