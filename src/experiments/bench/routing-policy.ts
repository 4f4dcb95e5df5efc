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

/** What a policy may use of a bench run. */
export type PolicyContext = {
	readonly deployment: Deployment;
	readonly time: EventQueue;
	readonly random: RandomSource;
	readonly descriptions: ReadonlyMap<string, TargetDescription>;
	readonly floors: ReadonlyMap<string, number>;
	readonly weights: CostWeights;
	/** True state of the engines; only the oracle looks at it. */
	readonly engineSimulations: ReadonlyMap<
		string,
		EngineSimulation<BenchGeneration>
	>;
	/** Sends a request to an engine, over the link from its VM. */
	send(request: BenchRequest, targetId: string, priority: number): void;
	/** Lagging load report of an engine. */
	report(targetId: string): LoadReport;
	/** Late prefix-cache events of an engine. */
	cacheEvents(targetId: string, after: number): readonly CacheEvent[];
};

/** How a generation that a policy sent has ended. */
export type BenchOutcome = 'finished' | 'cancelled';

/** Routing of all VMs of a run. */
export abstract class RoutingPolicy {
	abstract readonly name: string;

	constructor(protected readonly context: PolicyContext) {}

	/** A request has arrived at its VM. */
	abstract submit(request: BenchRequest): void;

	/** A request that was sent has produced this many tokens. */
	abstract progressed(request: BenchRequest, producedTokens: number): void;

	/** A request that was sent has ended. */
	abstract ended(request: BenchRequest, outcome: BenchOutcome): void;

	/** The caller of a request that was not sent has given up. */
	abstract withdrawn(request: BenchRequest): void;
}
