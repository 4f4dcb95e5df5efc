/** Whether a target refuses orders with an outdated fencing number. */
export type FencingSupport = 'refuses-old' | 'ignores';

/** Kind of target. */
export type TargetKind = 'engine' | 'service';

/** A target as the operator configures it. */
export type TargetDescription = {
	readonly id: string;
	readonly kind: TargetKind;
	/** Base URL, for example `http://127.0.0.1:9001`. */
	readonly url: string;
	readonly availabilityZone: string;
	/** Models that an engine may serve; empty for services. */
	readonly models: readonly string[];
	/** Name of the plain service; empty for engines. */
	readonly service: string;
	/** `ignores` if the configuration does not set it. */
	readonly fencing: FencingSupport;
	/** True if the target can report whether the call with a given idempotency key was executed. */
	readonly answersOutcomes: boolean;
};

/**
 * How the output of a generation is delivered to its caller.
 * `whole`: buffered, and sent when it is complete; the loss of the engine is not visible to the caller.
 * `restartable`: streamed; after the loss of the engine, an event tells the caller to discard the output
 * so far, and the stream starts again.
 * `live`: streamed; the loss of the engine ends the stream with the error `generation-lost`.
 */
export type Delivery = 'whole' | 'restartable' | 'live';

/** Why a generation ended: the model stopped, or the output reached its maximum length. */
export type FinishReason = 'stop' | 'length';

/** Request to an engine for a generation. */
export type EngineRequest = {
	readonly generationId: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Lower values are more important; the engine preempts the highest value first. */
	readonly priority: number;
	/** Time remaining until the caller's deadline, in milliseconds; undefined without a deadline. */
	readonly timeoutMs?: number;
};

/** Load report of an engine of the entry daemon. It describes the past, see `ageMs`. */
export type LoadReport = {
	/** Increases with every report. */
	readonly sequence: number;
	/** Age of the report's figures when it was read, in milliseconds. */
	readonly ageMs: number;
	readonly runningCount: number;
	readonly waitingCount: number;
	/** Occupied KV cache, in tokens. */
	readonly usedTokens: number;
	/** Size of the KV cache, in tokens. */
	readonly capacityTokens: number;
	/** Number of preemptions since the engine started. */
	readonly preemptionsTotal: number;
	readonly models: readonly string[];
	/** True once the target accepts no new requests. */
	readonly leaving: boolean;
};

/** A change of an engine's prefix cache. */
export type CacheEvent = {
	readonly sequence: number;
	readonly change: 'stored' | 'evicted';
	/** Hash of a prompt prefix. */
	readonly prefixHash: string;
};

/** An order to a target. It states the wanted state, so it is idempotent. */
export type TargetOrder = {
	readonly fencingNumber: number;
	readonly kind: 'load-model' | 'unload-model' | 'load-adapter' | 'set-role';
	readonly name: string;
	readonly version: string;
};

/** Load that one entry VM has at a target, as reported to the other entry VMs. */
export type TargetActivity = {
	readonly targetId: string;
	/** Generations of the VM that are open at the target. */
	readonly openCount: number;
	/** Prompt and output tokens that those hold in the KV cache, by the VM's own count. */
	readonly openTokens: number;
	/** Expected growth of those generations in the next 30 s, in tokens. */
	readonly expectedGrowthTokens: number;
};
