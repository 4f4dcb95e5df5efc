import type {
	CacheEvent,
	CostWeights,
	LoadReport,
	RandomSource,
	TargetDescription,
} from '../../common/index.js';
import type {EngineSimulation} from '../../standins/engine/index.js';
import type {BenchRequest} from './arrivals.js';
import type {Deployment} from './deployments.js';
import type {EventQueue} from './event-queue.js';
import type {BenchGeneration} from './fleet.js';

/** Interface of a run to its policy. */
export type PolicyContext = {
	readonly deployment: Deployment;
	readonly time: EventQueue;
	readonly random: RandomSource;
	/** Engines by target id. */
	readonly descriptions: ReadonlyMap<string, TargetDescription>;
	/** Contract floors in tokens per minute, by account. */
	readonly floors: ReadonlyMap<string, number>;
	readonly weights: CostWeights;
	/** Actual state of the engines, which only the oracle policy reads. */
	readonly engineSimulations: ReadonlyMap<
		string,
		EngineSimulation<BenchGeneration>
	>;
	/** Sends a request from its VM to an engine; it arrives later at an engine in another zone. */
	send(request: BenchRequest, targetId: string, priority: number): void;
	/** See `Fleet.report`. */
	report(targetId: string): LoadReport;
	/** See `Fleet.cacheEvents`. */
	cacheEvents(targetId: string, after: number): readonly CacheEvent[];
};

/** Outcome of a request that was sent to an engine. */
export type BenchOutcome = 'finished' | 'cancelled';

/** Routing algorithm that serves all VMs of a run. */
export abstract class RoutingPolicy {
	abstract readonly name: string;

	constructor(protected readonly context: PolicyContext) {}

	/** Called when a request arrives at its VM; the policy sends it at once or later. */
	abstract submit(request: BenchRequest): void;

	/** Called at intervals with the number of tokens that a sent request has produced. */
	abstract progressed(request: BenchRequest, producedTokens: number): void;

	/** Called when a sent request has finished or was cancelled. */
	abstract ended(request: BenchRequest, outcome: BenchOutcome): void;

	/** Called when the caller cancels a request that was not sent; it must not be sent any more. */
	abstract withdrawn(request: BenchRequest): void;
}
