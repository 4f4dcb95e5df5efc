import type {
	ResponseHead,
	Disposable,
	SendFailure,
	TargetEntry,
} from '../../common/index.js';
import type {CallSessionOptions} from './call-session-types.js';
import type {BufferUsage} from './buffer-budget.js';
import {concatBytes} from './concat-bytes.js';
import {promisesNotRun, misdirectedStatus} from './refusals.js';
import {createSessionCompletion} from './session-completion.js';
import type {
	AdmittedRequest,
	CallerResponse,
	ServingSession,
} from './session-types.js';

type Attempt = {
	readonly target: TargetEntry;
	readonly startedMs: number;
	readonly chunks: Uint8Array[];
	readonly bufferUsage: BufferUsage;
	/** Open call in the load count of the target. */
	readonly openCall: Disposable;
	send: Disposable | undefined;
	head: ResponseHead | undefined;
	isOver: boolean;
};

/** Time without a response after which an idempotent request is hedged at a second target, in milliseconds. */
const hedgeAfterMs = 250;
/** Time left below which a request is not sent, since it could not succeed, in milliseconds. */
const minSendMs = 20;
/** `Retry-After` for a call that no target has run, in milliseconds. */
const retryAfterMs = 300;
const firstServerErrorStatus = 500;

/**
 * Serves one call to a plain service. A non-idempotent call is retried only if the target certainly
 * did not run it: the connection failed before the request was sent, or the target said so.
 */
export function startCallSession(
	admitted: AdmittedRequest,
	callerResponse: CallerResponse,
	options: CallSessionOptions,
): ServingSession {
	const {clock, timers, targetClient, retryShare, log} = options;
	const {maxResponseBytes} = options.responseLimits;
	const {request, route, service} = admitted;
	const isIdempotent = route.kind === 'idempotent';
	const tried = new Set<string>();
	const attempts = new Set<Attempt>();
	/** Sends, except those that failed before the request was sent. */
	let sendCount = 0;
	/** Ended sends after which the target may have run the request. */
	let mayHaveRunCount = 0;
	/** Last 5xx response of a target; forwarded if the request is not sent again. */
	let lastErrorResponse: {head: ResponseHead; body: Uint8Array} | undefined;
	let hedge: Disposable | undefined;

	const leftMs = () => admitted.deadlineMs - clock.nowMs();

	const closeAttempt = (attempt: Attempt) => {
		attempt.isOver = true;
		attempts.delete(attempt);
		attempt.bufferUsage.dispose();
		attempt.openCall.dispose();
	};

	const completion = createSessionCompletion({
		logMessage: 'call ended',
		admitted,
		callerResponse,
		clock,
		timers,
		log,
		retryAfterMs,
		release() {
			hedge?.dispose();
			for (const attempt of attempts) {
				attempt.send?.dispose();
				closeAttempt(attempt);
			}

			return {targetsTried: tried.size};
		},
		onTimeout() {
			handleTimeout();
		},
	});
	/** True while a target may have run, or may still run, the request; false again after a refusal. */
	const mayHaveRun = () => mayHaveRunCount > 0 || attempts.size > 0;

	const giveUp = (reason: string, afterMs?: number) => {
		if (lastErrorResponse) {
			completion.sendResponse(
				lastErrorResponse.head,
				lastErrorResponse.body,
				reason,
			);
		} else {
			completion.sendUnanswered(mayHaveRun(), reason, afterMs);
		}
	};

	/**
	 * Sends the request to a target that has not received it yet.
	 * @returns false if the time, the targets or the retry budget are used up
	 */
	const sendToNextTarget = (reason: string): boolean => {
		if (leftMs() < minSendMs) {
			return false;
		}

		const isRetry = sendCount > 0;
		const target = options.chooseTarget(service, tried);
		if (!target || (isRetry && !retryShare.tryTake(service))) {
			return false;
		}

		tried.add(target.id);
		sendCount++;
		const attempt: Attempt = {
			target,
			startedMs: clock.nowMs(),
			chunks: [],
			bufferUsage: options.bufferBudget.track(maxResponseBytes),
			openCall: options.trackCall(target),
			send: undefined,
			head: undefined,
			isOver: false,
		};
		attempts.add(attempt);
		log('call sent', {
			request: request.id,
			route: route.name,
			target: target.id,
			reason,
			leftMs: Math.round(leftMs()),
		});
		attempt.send = targetClient.send(
			target.address,
			request,
			{
				expectedTargetId: target.id,
				account: admitted.account,
				timeoutMs: leftMs(),
				priority: admitted.priority,
				backupAddress: undefined,
				continueFrom: undefined,
				lastEventId: undefined,
				maxAnswerBytes: maxResponseBytes,
			},
			{
				onHead(head) {
					attempt.head = head;
					if (head.requestId === request.id) {
						options.onResponseHead(target, head, attempt.startedMs);
					}
				},
				onData(chunk) {
					handleData(attempt, chunk);
				},
				onEnd() {
					handleResponse(attempt);
				},
				onFailure(failure) {
					handleFailure(attempt, failure);
				},
			},
		);
		return true;
	};

	const retryOrGiveUp = (reason: string) => {
		if (completion.isDone || attempts.size > 0) {
			return;
		}

		const mayRepeat =
			mayHaveRunCount === 0 ||
			(isIdempotent && mayHaveRunCount < route.maxAttempts);
		if (!mayRepeat || !sendToNextTarget(reason)) {
			giveUp(reason);
		}
	};

	const handleData = (attempt: Attempt, chunk: Uint8Array) => {
		if (attempt.isOver) {
			return;
		}

		attempt.chunks.push(chunk);
		const limitReason = attempt.bufferUsage.set(
			attempt.bufferUsage.bytes + chunk.length,
		);
		if (limitReason) {
			const reason = `response of ${attempt.bufferUsage.bytes} bytes: ${limitReason}`;
			attempt.send?.dispose();
			handleFailure(attempt, {unsent: false, reason});
		}
	};

	const handleFailure = (attempt: Attempt, failure: SendFailure) => {
		if (attempt.isOver) {
			return;
		}

		closeAttempt(attempt);
		options.onSendResult(
			attempt.target,
			false,
			clock.nowMs() - attempt.startedMs,
		);
		log('call attempt failed', {
			request: request.id,
			target: attempt.target.id,
			unsent: failure.unsent,
			reason: failure.reason,
		});
		if (failure.unsent) {
			sendCount--;
			options.onUnreachable(attempt.target);
		} else {
			mayHaveRunCount++;
		}

		retryOrGiveUp(failure.unsent ? 'target unreachable' : 'answer lost');
	};

	const handleResponse = (attempt: Attempt) => {
		const {head, target} = attempt;
		if (attempt.isOver || !head) {
			return;
		}

		const latencyMs = clock.nowMs() - attempt.startedMs;
		if (head.requestId !== request.id) {
			handleFailure(attempt, {
				unsent: false,
				reason: 'answer of another request',
			});
			targetClient.closeConnections(target.address);
			return;
		}

		closeAttempt(attempt);
		if (
			head.notExecuted ||
			(head.status === misdirectedStatus && !head.isFromTarget)
		) {
			if (head.status === misdirectedStatus) {
				options.onMisdirected(target);
			}

			options.onSendResult(
				target,
				head.status !== firstServerErrorStatus,
				latencyMs,
			);
			log('call not executed', {
				request: request.id,
				target: target.id,
				status: head.status,
			});
			retryOrGiveUp('target refused');
			return;
		}

		const isSuccess = head.status < firstServerErrorStatus;
		const isTargetResponse = head.isFromTarget && !head.hasContentEncoding;
		options.onSendResult(target, isSuccess && isTargetResponse, latencyMs);
		mayHaveRunCount++;
		if (!isTargetResponse || promisesNotRun(head.status)) {
			retryOrGiveUp('answer without the mark of a target');
			return;
		}

		const body = concatBytes(attempt.chunks);
		if (isSuccess) {
			completion.sendResponse(head, body, 'answered');
			return;
		}

		lastErrorResponse = {head, body};
		retryOrGiveUp('target failed');
	};

	const handleTimeout = () => {
		if (mayHaveRun()) {
			completion.sendTimeout();
		} else {
			giveUp('no target in time');
		}
	};

	if (isIdempotent && route.maxAttempts > 1) {
		hedge = timers.after(hedgeAfterMs, () => {
			if (!completion.isDone && attempts.size === 1 && mayHaveRunCount === 0) {
				sendToNextTarget('first target is slow');
			}
		});
	}

	retryShare.recordRequest(service);
	if (!sendToNextTarget('first send')) {
		giveUp('no target of the service is usable');
	}

	return {
		get isDone() {
			return completion.isDone;
		},
		get mayHaveRun() {
			return mayHaveRun();
		},
		callerDisconnected() {
			if (isIdempotent || attempts.size === 0) {
				completion.abort('caller left');
			}
		},
		giveUp,
	};
}
