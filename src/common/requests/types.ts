import type {Disposable} from '../base/index.js';

/** A header as on the wire, with the original case of its name. */
export type HeaderPair = readonly [name: string, value: string];

/** A part of a prompt that several requests may have in common. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** Parameters of a requested generation, from the request headers. */
export type GenerationParameters = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** In the order of the prompt; the last part is specific to the request or its session. */
	readonly promptParts: readonly PromptPart[];
	/** The caller's estimate of the output length; often inaccurate. */
	readonly lengthHintTokens: number | undefined;
};

/** A caller's request, without the headers that concern only its connection. */
export type CallerRequest = {
	/** Unique id of the request, chosen by the caller; a retry by the caller has a new one. */
	readonly id: string;
	readonly method: string;
	/** Path and query as received. */
	readonly path: string;
	/** Value of the `Host` header in lower case. */
	readonly host: string;
	/** Headers that are forwarded to the target. */
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
	/** Time that the caller waits for the response, in milliseconds. */
	readonly timeoutMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly generation: GenerationParameters | undefined;
	/** Id of the last event that the caller received, if it continues a stream. */
	readonly lastEventId: string | undefined;
};

/** Identifies a copy of a run's KV cache. */
export type KvCacheCopy = {
	/** `address:port` of the engine that issued the handle. */
	readonly address: string;
	readonly handle: string;
};

/** What is added to a caller's request when it is sent to a target. */
export type SendOptions = {
	/** Id of the target that the request is for; any other target refuses it. */
	readonly expectedTargetId: string;
	readonly account: string | undefined;
	/** Time remaining until the deadline, in milliseconds. */
	readonly timeoutMs: number | undefined;
	/** 0 is the highest priority. */
	readonly priority: number | undefined;
	/** `address:port` of the engine to which the run's KV cache is copied as it grows. */
	readonly backupAddress: string | undefined;
	/** KV cache copy from which the run continues. */
	readonly continueFrom: KvCacheCopy | undefined;
	/** Id of the last event of the stream that is continued. */
	readonly lastEventId: string | undefined;
	/**
	 * Asked when a connection is free for the request, which may be long after `send` was called; if it
	 * returns false, the send fails as unsent.
	 */
	readonly mayStart: () => boolean;
	/** Largest size of the response, including its framing, in bytes; a larger one is aborted. */
	readonly maxAnswerBytes: number;
};

/** What a target's response says about the rate of requests that the target accepts from all VMs together. */
export type StatedRateLimit =
	| {readonly state: 'unlimited'}
	| {readonly state: 'limited'; readonly requestsPerSecond: number}
	/** The limit could not be read; `detail` says why. */
	| {readonly state: 'malformed'; readonly detail: string};

/** Whether a target's response says that the target leaves. */
export type StatedLeaving =
	| {readonly state: 'leaving' | 'staying'}
	/** The statement could not be read; `detail` says why. */
	| {readonly state: 'malformed'; readonly detail: string};

/** For how long a target that turns a request away wants no others from this VM. */
export type StatedBackOff =
	| {readonly state: 'none'}
	| {readonly state: 'backing-off'; readonly durationMs: number}
	/** The duration could not be read; `detail` says why. */
	| {readonly state: 'malformed'; readonly detail: string};

/** For how long a target is still cold, as its response says. */
export type StatedCold =
	| {readonly state: 'stated'; readonly coldMs: number}
	| {readonly state: 'not-stated'}
	/** The time could not be read; `detail` says why. */
	| {readonly state: 'malformed'; readonly detail: string};

/** Status and headers of a target's response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: readonly HeaderPair[];
	/** Id of the request that the response is for, according to the target. */
	readonly requestId: string | undefined;
	/** True if a target made the response, not a proxy: it carries the header that only targets set. */
	readonly isFromTarget: boolean;
	/** True if the target states that it did not execute the request. */
	readonly notExecuted: boolean;
	/** True if the body has a content encoding, although none was requested. */
	readonly hasContentEncoding: boolean;
	readonly rateLimit: StatedRateLimit;
	readonly leaving: StatedLeaving;
	readonly backOff: StatedBackOff;
	readonly cold: StatedCold;
};

/** What is wrong with a response that was broken off. */
export type ResponseDefect =
	/** The response, or a part of it, is over its size limit. */
	| 'too-large'
	/** The VM has no memory for the response. */
	| 'no-memory'
	/** An event of the response is damaged, or out of order. */
	| 'malformed'
	/** The response belongs to another request. */
	| 'foreign'
	/** HTTP does not define the status of the response. */
	| 'undefined-status'
	/** The head of the response can be read in two ways. */
	| 'ambiguous-head';

/** Why a request got no complete response. */
export type SendFailure = {
	/** True if certainly no byte of the request has reached the target. */
	readonly unsent: boolean;
	/**
	 * True if this VM has held the request back: it was no longer wanted once a connection was free, or it can't be
	 * sent as it is. That says nothing of the target.
	 */
	readonly withheld?: boolean;
	/** True if the target, or the network, ended the connection before the response was complete. */
	readonly connectionEnded: boolean;
	/**
	 * True if the connection ended since nothing arrived on it any more. The target may not have noticed its
	 * end, and may still work on the request.
	 */
	readonly timedOut?: boolean;
	readonly reason: string;
	/** What is wrong with the response itself; undefined if it only did not arrive completely. */
	readonly defect?: ResponseDefect;
};

/** A send in progress. Disposing it aborts the request and closes its connection. */
export type SendHandle = Disposable & {
	/** Stops reading the response, so that the target is slowed down. */
	pause(): void;
	resume(): void;
};

/** Receives the response of a target. */
export type ResponseListener = {
	onHead(head: ResponseHead): void;
	onData(chunk: Uint8Array): void;
	/** The response is complete. */
	onEnd(): void;
	onFailure(failure: SendFailure): void;
};

/** A run whose KV cache is to be copied to another engine. */
export type CopyOrder = {
	/** `address:port` of the engine that executes the run. */
	readonly address: string;
	/** Id of the request that the run serves. */
	readonly requestId: string;
	/** `address:port` of the engine that receives the copy. */
	readonly toAddress: string;
};

/** Result of copying the KV cache of a run. */
export type CopyResult =
	| {readonly outcome: 'copied'; readonly copy: KvCacheCopy}
	/** The receiving engine has no free KV cache memory or is unreachable. */
	| {readonly outcome: 'refused'}
	/** The engine has no such run. */
	| {readonly outcome: 'unknown-run'}
	/** Another copy of the run is in progress. */
	| {readonly outcome: 'busy'}
	| {readonly outcome: 'failed'; readonly reason: string};

/** Result of stopping a run at its engine. */
export type StopRunResult =
	/**
	 * The run has stopped and can continue from its KV cache. `holder` says where that is: at the engine that
	 * was to receive a copy, or still at the engine of the run.
	 */
	| {
			readonly outcome: 'stopped';
			readonly holder: 'destination' | 'source';
			readonly kvCache: KvCacheCopy;
	  }
	/** The engine executes no such run; the run may wait there. */
	| {readonly outcome: 'unknown-run'}
	/** A copy of the run is in progress. */
	| {readonly outcome: 'busy'}
	/** The run may go on. */
	| {readonly outcome: 'failed'; readonly reason: string};

/** A run as its engine reports it. */
export type ReportedRun = {
	/** Id of the request that the run serves. */
	readonly requestId: string;
	/** Number of events that the run has produced. */
	readonly eventCount: number;
};

/** What is known of a run at an engine that was asked over a new connection. */
export type RunStatus =
	/** The engine executes the run. */
	| {readonly state: 'running'; readonly eventCount: number}
	/** The engine neither executes the run nor lets any request wait. */
	| {readonly state: 'absent'}
	/** The engine has ended since it registered. */
	| {readonly state: 'engine-ended'}
	/** The engine did not respond in time. */
	| {readonly state: 'unreachable'; readonly reason: string}
	/** The engine responds, but does not say whether it has the run. */
	| {readonly state: 'unstated'; readonly reason: string};

/**
 * Load report of an engine of the platform that the front daemon serves; some hundred milliseconds old.
 * `LoadReport` is that of the entry daemon's engines.
 */
export type EngineReport = {
	readonly queuedCount: number;
	readonly runningCount: number;
	/** Occupied KV cache, in tokens. */
	readonly usedTokens: number;
	/** Size of the KV cache, in tokens. */
	readonly capacityTokens: number;
	/** True if the engine is draining or has announced when it stops; it gets no new requests. */
	readonly leaving: boolean;
	/** Time for which the engine is still cold, in milliseconds; 0 if it is not, or does not say it. */
	readonly coldMs: number;
	/** Unix time of the engine's start in milliseconds, if the report has it. */
	readonly bornMs: number | undefined;
	/** Runs that the engine executes; undefined if the report does not list them. */
	readonly runs: readonly ReportedRun[] | undefined;
};

/**
 * Whether a target still runs. `ended`: its address accepts no connections, or another incarnation responds
 * there; `unknown`: no response in time, or one that says neither.
 */
export type TargetLiveness = 'alive' | 'ended' | 'unknown';
