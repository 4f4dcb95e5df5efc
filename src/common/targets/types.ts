/** Whether a target refuses orders that carry an old fencing number. */
export type FencingSupport = 'refuses-old' | 'ignores';

/** Kind of target. */
export type TargetKind = 'engine' | 'service';

/** What operators say of a target in the configuration. */
export type TargetDescription = {
	readonly id: string;
	readonly kind: TargetKind;
	/** Base URL, for example `http://127.0.0.1:9001`. */
	readonly url: string;
	readonly availabilityZone: string;
	/** Models an engine may serve, empty for services. */
	readonly models: readonly string[];
	/** Name of the plain service, empty for engines. */
	readonly service: string;
	/** A description that does not say counts as `ignores`. */
	readonly fencing: FencingSupport;
	/** True if the target can be asked whether a call with a given key took effect. */
	readonly answersOutcomes: boolean;
};

/** How an answer reaches its caller. */
export type Delivery = 'whole' | 'restartable' | 'live';

/** Why a generation ended. */
export type FinishReason = 'stop' | 'length';

/** A generation as an engine is asked for it. */
export type EngineRequest = {
	readonly generationId: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Smaller is more important; the engine preempts the largest first. */
	readonly priority: number;
	/** Time that the caller still waits, in milliseconds; undefined without a deadline. */
	readonly timeoutMs?: number;
};

/** Load report of an engine. It lags. */
export type LoadReport = {
	/** Only grows; tells reports apart. */
	readonly sequence: number;
	/** Age of the report's figures when it was read, in milliseconds. */
	readonly ageMs: number;
	readonly runningCount: number;
	readonly waitingCount: number;
	/** Memory for keys and values, counted in tokens. */
	readonly usedTokens: number;
	readonly capacityTokens: number;
	readonly preemptionsTotal: number;
	readonly models: readonly string[];
	/** True once the target accepts no new work. */
	readonly leaving: boolean;
};

/** A change of an engine's prefix cache. */
export type CacheEvent = {
	readonly sequence: number;
	readonly change: 'stored' | 'evicted';
	/** Hash of a prompt prefix. */
	readonly prefixHash: string;
};

/** Order to a target. Orders name the wanted state, so repeating one is harmless. */
export type TargetOrder = {
	readonly fencingNumber: number;
	readonly kind: 'load-model' | 'unload-model' | 'load-adapter' | 'set-role';
	readonly name: string;
	readonly version: string;
};

/** What one entry VM has running at a target, as it tells its peers. */
export type TargetActivity = {
	readonly targetId: string;
	/** Generations that the VM has open there. */
	readonly openCount: number;
	/** Prompt and output tokens that those hold now, by the VM's own count. */
	readonly openTokens: number;
	/** Tokens by which the VM expects its generations there to grow in the next 30 s. */
	readonly expectedGrowthTokens: number;
};
