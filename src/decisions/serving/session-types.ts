import type {
	ResponseHead,
	CallerRequest,
	Clock,
	HeaderPair,
	RouteRule,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {BufferBudget} from './buffer-budget.js';
import type {RetryShare} from './retry-share.js';

/** An attempt of a caller that was admitted to a route. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly route: RouteRule;
	/** The share of the route that was drawn for it. */
	readonly service: string;
	readonly account: string | undefined;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time of its arrival, in milliseconds. */
	readonly arrivedMs: number;
	/** Time that its caller has waited in earlier attempts, in milliseconds. */
	readonly previousWaitMs: number;
	/** Monotonic time at which its final answer is due, in milliseconds. */
	readonly deadlineMs: number;
};

/** Way back to the caller. */
export type CallerResponse = {
	/** True once the status and headers were sent. */
	readonly isHeadSent: boolean;
	/** Sends status and headers of a target's answer, to be followed by data. */
	startStream(head: ResponseHead): void;
	write(bytes: Uint8Array): void;
	/** Ends an answer whole. */
	end(): void;
	/** Sends a whole answer of a target. */
	sendResponse(head: ResponseHead, body: Uint8Array): void;
	/** Sends an answer of this system. */
	sendLocalResponse(
		status: number,
		message: string,
		headers?: readonly HeaderPair[],
	): void;
	/** Closes the connection, so that the answer does not look whole. */
	abort(): void;
};

/** A request under way. */
export type ServingSession = {
	readonly isDone: boolean;
	/** True once a target may have the request. */
	readonly mayHaveRun: boolean;
	/** The caller has closed its connection. */
	callerDisconnected(): void;
	/**
	 * Gives the final answer now.
	 * @param retryAfterMs - time after which the caller may come back if nothing has run
	 */
	giveUp(reason: string, retryAfterMs: number): void;
};

/** Largest answers of sound targets, in bytes. */
export type ResponseLimits = {
	/** Answer to a call, or an answer that is no stream. */
	readonly maxResponseBytes: number;
	/** One event of a stream. */
	readonly maxEventBytes: number;
	/** All events of a stream. */
	readonly maxStreamBytes: number;
};

/** What sessions of both kinds work with. */
export type SessionServices = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly targetClient: TargetClient;
	readonly retryShare: RetryShare;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
	readonly log: DecisionLog;
	/** A send ended. */
	readonly onSendResult: (
		target: TargetEntry,
		succeeded: boolean,
		latencyMs: number,
	) => void;
	/** Nothing accepts connections at the address. */
	readonly onUnreachable: (target: TargetEntry) => void;
	/** The target at the address is another one. */
	readonly onMisdirected: (target: TargetEntry) => void;
};

/** Values of a decision, as they are logged. */
export type DecisionRecord = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** Receives each decision that touches a request. */
export type DecisionLog = (event: string, record: DecisionRecord) => void;
