import type {
	Event,
	ResponseDefect,
	ResponseHead,
	CallerRequest,
	Clock,
	HeaderPair,
	RouteRule,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {AllowedRegions} from '../target-eligibility/index.js';
import type {BufferBudget} from './buffer-budget.js';
import type {RetryShare} from './retry-share.js';

/** A caller's request that has passed admission and was assigned to a service. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly route: RouteRule;
	/** Service that was drawn from the weighted shares of the route. */
	readonly service: string;
	readonly account: string | undefined;
	readonly allowedRegions: AllowedRegions;
	/** Priority of the client account or the route; 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time at which the request arrived, in milliseconds. */
	readonly arrivedMs: number;
	/** Estimated time that the caller has waited with earlier requests for the same work, in milliseconds. */
	readonly previousWaitMs: number;
	/** Monotonic time by which the final response is due, in milliseconds. */
	readonly deadlineMs: number;
};

/** Writes the response to one request of a caller. */
export type CallerResponse = {
	/** True once the status and headers have been sent. */
	readonly isHeadSent: boolean;
	/** True while the caller has not taken what was written; nothing more should be written then. */
	readonly isCongested: boolean;
	/** Fires when the caller has taken what was written. */
	readonly onDrained: Event<void>;
	/** Sends the status and headers of a target's response; `write` sends its body. */
	startStream(head: ResponseHead): void;
	write(bytes: Uint8Array): void;
	/** Ends a streamed response normally. */
	end(): void;
	/** Sends a complete response of a target. */
	sendResponse(head: ResponseHead, body: Uint8Array): void;
	/** Sends a response that this VM generates itself. */
	sendLocalResponse(
		status: number,
		message: string,
		headers?: readonly HeaderPair[],
	): void;
	/** Closes the connection, so that the caller sees the response as incomplete. */
	abort(): void;
};

/** A request in progress. */
export type ServingSession = {
	/** True once the session has ended: the final response was sent, or the connection was closed. */
	readonly isDone: boolean;
	/** True while a target may have run, or may still run, the request; false again after a refusal. */
	readonly mayHaveRun: boolean;
	/** Called when the caller has closed its connection. */
	callerDisconnected(): void;
	/**
	 * Ends the request now with its final response.
	 * @param retryAfterMs - `Retry-After` for a request that no target has run, in milliseconds
	 */
	giveUp(reason: string, retryAfterMs: number): void;
};

/** Largest responses that are accepted from targets, in bytes. */
export type ResponseLimits = {
	/** Response to a call, or response of an engine that is not an event stream. */
	readonly maxResponseBytes: number;
	/** One event of a stream. */
	readonly maxEventBytes: number;
	/** All events of a stream, with the HTTP framing. */
	readonly maxStreamBytes: number;
};

/** Dependencies that call sessions and stream sessions share. */
export type SessionServices = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly targetClient: TargetClient;
	readonly retryShare: RetryShare;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
	readonly log: DecisionLog;
	/**
	 * Called when a send to a plain service has ended, and for a stream at its first event and again if
	 * the stream fails. A refusal counts as a success.
	 * @param latencyMs - time to the response, the first event or the failure, in milliseconds
	 */
	readonly onSendResult: (
		target: TargetEntry,
		succeeded: boolean,
		latencyMs: number,
	) => void;
	/**
	 * Called with the status and headers of each response that a target makes to the request.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 */
	readonly onResponseHead: (
		target: TargetEntry,
		head: ResponseHead,
		sentMs: number,
	) => void;
	/** True while the target may get requests; asked again when a connection is free. */
	readonly mayUse: (target: TargetEntry) => boolean;
	/**
	 * Describes for the log which targets of a service are left out, or used as the last resort, and why;
	 * undefined if there are none.
	 */
	readonly restrictedTargets: (service: string) => string | undefined;
	/** Called when a response was broken off because of a defect. */
	readonly onDefectiveResponse: (
		target: TargetEntry,
		defect: ResponseDefect,
	) => void;
	/** Called when the target's address accepts no connection. */
	readonly onUnreachable: (target: TargetEntry) => void;
	/** Called when a different target responds at the address. */
	readonly onMisdirected: (target: TargetEntry) => void;
};

/** Fields of a logged decision. */
export type DecisionRecord = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** Logs a decision that affects a request. */
export type DecisionLog = (event: string, record: DecisionRecord) => void;
