import {
	promptPartIds,
	type ResponseHead,
	type SendFailure,
	type SendHandle,
} from '../../common/index.js';
import type {StreamEvent} from './event-decoder.js';
import type {RunCopy} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamResponse} from './stream-answer.js';
import {sendStream} from './stream-send.js';
import type {
	RunTracker,
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** One send of a stream to an engine. */
export type StreamAttempt = {
	readonly placement: StreamPlacement;
	/** Monotonic time at which the attempt was created, in milliseconds. */
	readonly startedMs: number;
	readonly tracker: RunTracker;
	/** True if the send continues a run from a copy of its KV cache. */
	readonly isContinuation: boolean;
	/** True once the send has been closed. */
	readonly isOver: boolean;
	/** Status of the response if it has failed before its end; undefined if none had arrived. */
	readonly failedStatus: number | undefined;
	/** Number of events that the caller had when the attempt was created. */
	readonly eventCountBefore: number;
	/** Time from the first to the latest event of the engine, in milliseconds; undefined before the first. */
	readonly progressMs: number | undefined;
	/** True once copying the run's KV cache has been started; it is started again only after it found no room. */
	hasStartedCopying: boolean;
	/** Copies of the run's KV cache besides the backup, newest first. */
	readonly copies: RunCopy[];
	/** Sends the request; the listener may be called before this returns. */
	start(): void;
	/** Stops reading the response, so that the engine is slowed down. */
	pause(): void;
	resume(): void;
	/** Cancels the send; the listener is not called any more. */
	close(): void;
};

/** Parameters of an attempt. */
export type StreamAttemptParameters = {
	readonly admitted: AdmittedRequest;
	readonly placement: StreamPlacement;
	readonly priority: number;
	/** Copy of the KV cache from which the run continues. */
	readonly continueFrom: RunCopy | undefined;
	/** Response as sent to the caller so far. */
	readonly response: StreamResponse;
	/** Why the request is sent, for the log. */
	readonly reason: string;
};

/** Receives the events of a send until it is closed. */
export type StreamAttemptListener = {
	onEvents(
		attempt: StreamAttempt,
		events: readonly StreamEvent[],
		head: ResponseHead,
	): void;
	/**
	 * The stream ended after a complete event.
	 * @param lastEventId - id of the last event that the engine has sent
	 */
	onEnd(attempt: StreamAttempt, head: ResponseHead, lastEventId: number): void;
	/** The response is not an unencoded 200 with the stamp of a target. */
	onOtherResponse(
		attempt: StreamAttempt,
		head: ResponseHead,
		body: Uint8Array,
	): void;
	onFailure(attempt: StreamAttempt, failure: SendFailure): void;
};

function lastEventIdOf({
	admitted: {route, request},
	response,
}: StreamAttemptParameters): string | undefined {
	const callerEventId = route.resumable ? request.lastEventId : undefined;
	const {lastEventId = callerEventId} = response;
	return lastEventId === undefined ? undefined : String(lastEventId);
}

/** Creates the attempt to run a stream at the engine where it was placed. */
export function createStreamAttempt(
	parameters: StreamAttemptParameters,
	options: StreamSessionOptions,
	listener: StreamAttemptListener,
): StreamAttempt {
	const {clock, log, trackRun} = options;
	const {admitted, placement, continueFrom, response} = parameters;
	const {request, route} = admitted;
	const {target, backup} = placement;
	const nowMs = clock.nowMs();
	const leftMs = admitted.deadlineMs - nowMs;
	const tracker = trackRun({
		placementId: placement.id,
		admitted,
		target,
		backup,
		eventCount: response.eventCount,
	});
	let sendHandle: SendHandle | undefined;
	let isOver = false;
	let failedStatus: number | undefined;
	let firstEventMs: number | undefined;
	let progressMs: number | undefined;
	const attempt: StreamAttempt = {
		placement,
		startedMs: nowMs,
		tracker,
		isContinuation: continueFrom !== undefined,
		get isOver() {
			return isOver;
		},
		get failedStatus() {
			return failedStatus;
		},
		eventCountBefore: response.eventCount,
		get progressMs() {
			return progressMs;
		},
		hasStartedCopying: false,
		copies: [],
		start() {
			log('stream sent', {
				request: request.id,
				route: route.name,
				target: target.id,
				promptParts: promptPartIds(request).join(' '),
				backup: backup?.id,
				continuesAt: continueFrom ? response.lastEventId : undefined,
				copy: continueFrom?.certainty,
				expectedFirstTokenMs: Math.round(placement.firstTokenMs),
				expectedMemoryPart: Number(placement.memoryFraction.toFixed(2)),
				isLate: placement.isLate,
				decidedBy: placement.decidedBy,
				waitedMs: Math.round(nowMs - admitted.arrivedMs),
				reason: parameters.reason,
				restricted: options.restrictedTargets(admitted.service),
				leftMs: Math.round(leftMs),
			});
			sendHandle = sendStream(
				options,
				{
					target,
					request,
					sendOptions: {
						expectedTargetId: target.id,
						account: admitted.account,
						timeoutMs: leftMs,
						priority: parameters.priority,
						backupAddress: backup?.address,
						continueFrom: continueFrom?.kvCache,
						lastEventId: lastEventIdOf(parameters),
						// The engine would copy the KV cache to the backup.
						mayStart: () =>
							options.mayUse(target) &&
							(backup === undefined || !options.isEvacuated(backup)),
					},
				},
				{
					onEvents(events, head) {
						const eventMs = clock.nowMs();
						firstEventMs ??= eventMs;
						progressMs = eventMs - firstEventMs;
						listener.onEvents(attempt, events, head);
					},
					onEnd(head, lastEventId) {
						listener.onEnd(attempt, head, lastEventId);
					},
					onOtherResponse(head, body) {
						listener.onOtherResponse(attempt, head, body);
					},
					onFailure(failure, status) {
						failedStatus = status;
						listener.onFailure(attempt, failure);
					},
				},
			);
		},
		pause() {
			sendHandle?.pause();
		},
		resume() {
			sendHandle?.resume();
		},
		close() {
			if (!isOver) {
				isOver = true;
				sendHandle?.dispose();
				tracker.dispose();
			}
		},
	};
	return attempt;
}
