/** A header as it stands on the wire. */
export type HeaderPair = readonly [name: string, value: string];

/** Part of a prompt that requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a request says of the generation that it asks for. */
export type GenerationParameters = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** In order; the last part belongs to the request or its session alone. */
	readonly promptParts: readonly PromptPart[];
	/** The caller's estimate of the output, often far off. */
	readonly lengthHintTokens: number | undefined;
};

/** One attempt of a caller, with what concerns only its connection left out. */
export type CallerRequest = {
	/** The caller's id of the attempt; unique. */
	readonly id: string;
	readonly method: string;
	/** Path and query as sent. */
	readonly path: string;
	readonly host: string;
	/** Headers that are passed on. */
	readonly headers: readonly HeaderPair[];
	readonly body: Uint8Array | undefined;
	/** Time that the caller waits, in milliseconds. */
	readonly timeoutMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly generation: GenerationParameters | undefined;
	/** Last event that the caller has, if it continues a stream. */
	readonly lastEventId: string | undefined;
};

/** Where the memory of a run lies. */
export type KvCacheCopy = {
	/** `address:port` named by the handle. */
	readonly address: string;
	readonly handle: string;
};

/** What this system adds to a request on its way to a target. */
export type SendOptions = {
	/** The request is refused by any other target. */
	readonly expectedTargetId: string;
	readonly account: string | undefined;
	/** Time left, in milliseconds. */
	readonly timeoutMs: number | undefined;
	/** 0 is the most urgent. */
	readonly priority: number | undefined;
	/** Target to which the engine copies the run's memory as it grows, `address:port`. */
	readonly backupAddress: string | undefined;
	/** Memory from which the run continues. */
	readonly continueFrom: KvCacheCopy | undefined;
	readonly lastEventId: string | undefined;
	/** Bytes after which the answer, its framing included, is broken off. */
	readonly maxAnswerBytes: number;
};

/** Status and headers of a target's answer. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: readonly HeaderPair[];
	/** Id of the request that the target says it answers. */
	readonly requestId: string | undefined;
	/** True if the answer bears the mark of a target. */
	readonly isFromTarget: boolean;
	/** True if the target says that it did not run the request. */
	readonly notExecuted: boolean;
	/** True if the body is in an encoding that nobody asked for. */
	readonly hasContentEncoding: boolean;
};

/** Why a send has no whole answer. */
export type SendFailure = {
	/** True if no byte of the request can have reached the target. */
	readonly unsent: boolean;
	readonly reason: string;
};

/** Receives what becomes of a send. */
export type ResponseListener = {
	onHead(head: ResponseHead): void;
	onData(chunk: Uint8Array): void;
	/** The answer is whole. */
	onEnd(): void;
	onFailure(failure: SendFailure): void;
};

/** Result of copying the memory of a run. */
export type CopyResult =
	| {readonly outcome: 'copied'; readonly copy: KvCacheCopy}
	/** The receiving engine has no room or cannot be reached. */
	| {readonly outcome: 'refused'}
	| {readonly outcome: 'unknown-run'}
	/** Another copy of the run is under way. */
	| {readonly outcome: 'busy'}
	| {readonly outcome: 'failed'; readonly reason: string};

/** Load that an engine reports of itself; some hundred milliseconds old. */
export type EngineReport = {
	readonly queuedCount: number;
	readonly runningCount: number;
	readonly usedTokens: number;
	readonly capacityTokens: number;
	/** True once the engine is about to end. */
	readonly leaving: boolean;
};
