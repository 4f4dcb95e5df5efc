import {
	createByteAccumulator,
	type ResponseHead,
	type SendFailure,
	type TargetEntry,
	type Disposable,
} from '../../common/index.js';
import type {CallSessionOptions} from './call-session-types.js';
import {defectOf} from './buffer-budget.js';
import type {AdmittedRequest} from './session-types.js';

/** One send of a call to a target. */
export type CallAttempt = {
	readonly target: TargetEntry;
	/** Monotonic time at which the attempt was created, in milliseconds. */
	readonly startedMs: number;
	/** Sends the request; the listener may be called before this returns. */
	start(): void;
	/** Records what the outcome shows of the target. */
	recordOutcome(isAnswered: boolean, latencyMs: number): void;
	/** Aborts the send; the listener is not called any more. */
	cancel(): void;
};

/** Receives the outcome of an attempt; exactly one `on` method is called, unless the attempt is cancelled. */
export type CallAttemptListener = {
	/** @returns false once the request must not be sent any more, if it still waits for a connection */
	isWanted(): boolean;
	/** The target has responded to the request completely. */
	onResponse(attempt: CallAttempt, head: ResponseHead, body: Uint8Array): void;
	/** The send failed, the response was cut off or too large, or it belongs to another request. */
	onFailure(attempt: CallAttempt, failure: SendFailure): void;
};

/** Creates the attempt to send a call to a target and to collect its response. */
export function createCallAttempt(
	{request, route, account, priority, deadlineMs}: AdmittedRequest,
	target: TargetEntry,
	options: CallSessionOptions,
	listener: CallAttemptListener,
): CallAttempt {
	const {targetClient} = options;
	const {maxResponseBytes} = options.responseLimits;
	const startedMs = options.clock.nowMs();
	const bufferUsage = options.bufferBudget.track(Infinity);
	const openCall = options.trackCall(target, route.kind === 'idempotent');
	const body = createByteAccumulator();
	let head: ResponseHead | undefined;
	let send: Disposable | undefined;
	let isOver = false;

	const close = () => {
		isOver = true;
		bufferUsage.dispose();
		openCall.dispose();
	};

	const fail = (failure: SendFailure) => {
		if (!isOver) {
			close();
			listener.onFailure(attempt, failure);
		}
	};

	const handleData = (chunk: Uint8Array) => {
		if (isOver) {
			return;
		}

		body.append(chunk);
		const limitReason =
			body.lengthBytes > maxResponseBytes
				? 'too large'
				: bufferUsage.set(body.capacityBytes);
		if (limitReason) {
			const reason = `response of ${body.lengthBytes} bytes: ${limitReason}`;
			send?.dispose();
			fail({
				unsent: false,
				connectionEnded: false,
				reason,
				defect: defectOf(limitReason),
			});
		}
	};

	const handleEnd = () => {
		if (isOver || !head) {
			return;
		}

		if (head.requestId === request.id) {
			close();
			listener.onResponse(attempt, head, body.take());
			return;
		}

		fail({
			unsent: false,
			connectionEnded: false,
			reason: 'answer of another request',
			defect: 'foreign',
		});
		targetClient.closeConnections(target.address);
	};

	const attempt: CallAttempt = {
		target,
		startedMs,
		recordOutcome: openCall.recordOutcome,
		start() {
			send = targetClient.send(
				target.address,
				request,
				{
					expectedTargetId: target.id,
					account,
					timeoutMs: deadlineMs - startedMs,
					priority,
					backupAddress: undefined,
					continueFrom: undefined,
					lastEventId: undefined,
					mayStart: () => options.mayUse(target) && listener.isWanted(),
					maxAnswerBytes: maxResponseBytes,
				},
				{
					onHead(responseHead) {
						head = responseHead;
						if (responseHead.requestId === request.id) {
							options.onResponseHead(target, responseHead, startedMs);
						}
					},
					onData: handleData,
					onEnd: handleEnd,
					onFailure: fail,
				},
			);
		},
		cancel() {
			if (!isOver) {
				close();
				send?.dispose();
			}
		},
	};
	return attempt;
}
