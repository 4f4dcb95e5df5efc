import type {
	ResponseHead,
	Disposable,
	KvCacheCopy,
	SendFailure,
} from '../../common/index.js';
import type {StreamEvent} from './event-splitter.js';
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
	/** Monotonic time, in milliseconds. */
	readonly startedMs: number;
	readonly tracker: RunTracker;
	/** True if the send continues a run. */
	readonly isContinuation: boolean;
	readonly isOver: boolean;
	/** True once copies of its memory are being made, since its engine leaves. */
	hasStartedCopying: boolean;
	/** Copies of the run's memory that were made because its engine leaves, the newest first. */
	readonly copies: RunCopy[];
	/** Sends; the listener may hear of a failure at once. */
	start(): void;
	/** Breaks the send off; its listener hears no more. */
	close(): void;
};

/** What a send is made from. */
export type StreamAttemptParameters = {
	readonly admitted: AdmittedRequest;
	readonly placement: StreamPlacement;
	readonly priority: number;
	/** Copy from which the run goes on. */
	readonly continueFrom: KvCacheCopy | undefined;
	/** What the caller has of the answer. */
	readonly answer: StreamResponse;
	readonly reason: string;
};

/** Receives what becomes of a send, unless it was closed before. */
export type StreamAttemptListener = {
	onEvent(attempt: StreamAttempt, event: StreamEvent, head: ResponseHead): void;
	/** The stream ended after a whole event. */
	onEnd(attempt: StreamAttempt, head: ResponseHead): void;
	/** The engine answered, but not with a stream. */
	onOtherResponse(
		attempt: StreamAttempt,
		head: ResponseHead,
		body: Uint8Array,
	): void;
	onFailure(attempt: StreamAttempt, failure: SendFailure): void;
};

function lastEventIdOf({
	admitted: {route, request},
	answer,
}: StreamAttemptParameters): string | undefined {
	const callerEventId = route.resumable ? request.lastEventId : undefined;
	const {lastEventId = callerEventId} = answer;
	return lastEventId === undefined ? undefined : String(lastEventId);
}

/** Creates the send of a stream to the engine it was placed at. */
export function createStreamAttempt(
	orders: StreamAttemptParameters,
	options: StreamSessionOptions,
	listener: StreamAttemptListener,
): StreamAttempt {
	const {clock, log, trackRun} = options;
	const {admitted, placement, continueFrom, answer} = orders;
	const {request, route} = admitted;
	const {target, backup} = placement;
	const nowMs = clock.nowMs();
	const leftMs = admitted.deadlineMs - nowMs;
	const tracker = trackRun({
		placementId: placement.id,
		admitted,
		target,
		backup,
		eventCount: answer.eventCount,
	});
	let handle: Disposable | undefined;
	let isOver = false;
	const attempt: StreamAttempt = {
		placement,
		startedMs: nowMs,
		tracker,
		isContinuation: continueFrom !== undefined,
		get isOver() {
			return isOver;
		},
		hasStartedCopying: false,
		copies: [],
		start() {
			log('stream sent', {
				request: request.id,
				route: route.name,
				target: target.id,
				backup: backup?.id,
				continuesAt: continueFrom ? answer.lastEventId : undefined,
				expectedFirstTokenMs: Math.round(placement.firstTokenMs),
				expectedMemoryPart: Number(placement.memoryFraction.toFixed(2)),
				isLate: placement.isLate,
				decidedBy: placement.decidedBy,
				waitedMs: Math.round(nowMs - admitted.arrivedMs),
				reason: orders.reason,
				leftMs: Math.round(leftMs),
			});
			handle = sendStream(
				options,
				{
					target,
					request,
					orders: {
						expectedTargetId: target.id,
						account: admitted.account,
						timeoutMs: leftMs,
						priority: orders.priority,
						backupAddress: backup?.address,
						continueFrom,
						lastEventId: lastEventIdOf(orders),
					},
				},
				{
					onEvent(event, head) {
						listener.onEvent(attempt, event, head);
					},
					onEnd(head) {
						listener.onEnd(attempt, head);
					},
					onOtherResponse(head, body) {
						listener.onOtherResponse(attempt, head, body);
					},
					onFailure(failure) {
						listener.onFailure(attempt, failure);
					},
				},
			);
		},
		close() {
			if (!isOver) {
				isOver = true;
				handle?.dispose();
				tracker.dispose();
			}
		},
	};
	return attempt;
}
