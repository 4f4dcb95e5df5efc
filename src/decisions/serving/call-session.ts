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
	readonly holding: BufferUsage;
	readonly open: Disposable;
	send: Disposable | undefined;
	head: ResponseHead | undefined;
	isOver: boolean;
};

/** Time without an answer after which an idempotent request goes to a second target as well. */
const hedgeAfterMs = 250;
/** A send with less time than this cannot succeed. */
const minSendMs = 20;
const retryAfterMs = 300;
const firstErrorStatus = 500;

/**
 * Serves one call to a plain service. Calls that may not be repeated are sent again only if the
 * target provably did not run them.
 */
export function startCallSession(
	admitted: AdmittedRequest,
	reply: CallerResponse,
	options: CallSessionOptions,
): ServingSession {
	const {clock, timers, targetClient, retryShare, log} = options;
	const {maxResponseBytes} = options.responseLimits;
	const {request, route, service} = admitted;
	const isIdempotent = route.kind === 'idempotent';
	const tried = new Set<string>();
	const attempts = new Set<Attempt>();
	/** Sends that reached, or may yet reach, a target. */
	let arrivedCount = 0;
	let mayHaveRunCount = 0;
	let lastFailure: {head: ResponseHead; body: Uint8Array} | undefined;
	let hedge: Disposable | undefined;

	const leftMs = () => admitted.deadlineMs - clock.nowMs();

	const close = (attempt: Attempt) => {
		attempt.isOver = true;
		attempts.delete(attempt);
		attempt.holding.dispose();
		attempt.open.dispose();
	};

	const ending = createSessionCompletion({
		logMessage: 'call ended',
		admitted,
		reply,
		clock,
		timers,
		log,
		retryAfterMs,
		release() {
			hedge?.dispose();
			for (const attempt of attempts) {
				attempt.send?.dispose();
				close(attempt);
			}

			return {targetsTried: tried.size};
		},
		onTimeout() {
			timedOut();
		},
	});
	/** True once a target may have the request. */
	const isSent = () => mayHaveRunCount > 0 || attempts.size > 0;

	const giveUp = (reason: string, afterMs?: number) => {
		if (lastFailure) {
			ending.sendResponse(lastFailure.head, lastFailure.body, reason);
		} else {
			ending.sendUnanswered(isSent(), reason, afterMs);
		}
	};

	/** Sends the request to a target that has not had it. */
	const sendOn = (reason: string): boolean => {
		if (leftMs() < minSendMs) {
			return false;
		}

		const isRepeat = arrivedCount > 0;
		const target = options.chooseTarget(service, tried);
		if (!target || (isRepeat && !retryShare.tryTake(service))) {
			return false;
		}

		tried.add(target.id);
		arrivedCount++;
		const attempt: Attempt = {
			target,
			startedMs: clock.nowMs(),
			chunks: [],
			holding: options.bufferBudget.track(maxResponseBytes),
			open: options.trackCall(target),
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
				},
				onData(chunk) {
					received(attempt, chunk);
				},
				onEnd() {
					answered(attempt);
				},
				onFailure(failure) {
					failed(attempt, failure);
				},
			},
		);
		return true;
	};

	const retryOrGiveUp = (reason: string) => {
		if (ending.isDone || attempts.size > 0) {
			return;
		}

		const mayRepeat =
			mayHaveRunCount === 0 ||
			(isIdempotent && mayHaveRunCount < route.maxAttempts);
		if (!mayRepeat || !sendOn(reason)) {
			giveUp(reason);
		}
	};

	const received = (attempt: Attempt, chunk: Uint8Array) => {
		if (attempt.isOver) {
			return;
		}

		attempt.chunks.push(chunk);
		const problem = attempt.holding.set(attempt.holding.bytes + chunk.length);
		if (problem) {
			const reason = `answer of ${attempt.holding.bytes} bytes: ${problem}`;
			attempt.send?.dispose();
			failed(attempt, {unsent: false, reason});
		}
	};

	const failed = (attempt: Attempt, failure: SendFailure) => {
		if (attempt.isOver) {
			return;
		}

		close(attempt);
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
			arrivedCount--;
			options.onUnreachable(attempt.target);
		} else {
			mayHaveRunCount++;
		}

		retryOrGiveUp(failure.unsent ? 'target unreachable' : 'answer lost');
	};

	const answered = (attempt: Attempt) => {
		const {head, target} = attempt;
		if (attempt.isOver || !head) {
			return;
		}

		const latencyMs = clock.nowMs() - attempt.startedMs;
		if (head.requestId !== request.id) {
			failed(attempt, {unsent: false, reason: 'answer of another request'});
			targetClient.closeConnections(target.address);
			return;
		}

		close(attempt);
		if (
			head.notExecuted ||
			(head.status === misdirectedStatus && !head.isFromTarget)
		) {
			if (head.status === misdirectedStatus) {
				options.onMisdirected(target);
			}

			options.onSendResult(target, head.status !== firstErrorStatus, latencyMs);
			log('call not executed', {
				request: request.id,
				target: target.id,
				status: head.status,
			});
			retryOrGiveUp('target refused');
			return;
		}

		const isSuccess = head.status < firstErrorStatus;
		const isWhole = head.isFromTarget && !head.hasContentEncoding;
		options.onSendResult(target, isSuccess && isWhole, latencyMs);
		mayHaveRunCount++;
		if (!isWhole || promisesNotRun(head.status)) {
			retryOrGiveUp('answer without the mark of a target');
			return;
		}

		const body = concatBytes(attempt.chunks);
		if (isSuccess) {
			ending.sendResponse(head, body, 'answered');
			return;
		}

		lastFailure = {head, body};
		retryOrGiveUp('target failed');
	};

	const timedOut = () => {
		if (isSent()) {
			ending.sendTimeout();
		} else {
			giveUp('no target in time');
		}
	};

	if (isIdempotent && route.maxAttempts > 1) {
		hedge = timers.after(hedgeAfterMs, () => {
			if (!ending.isDone && attempts.size === 1 && mayHaveRunCount === 0) {
				sendOn('first target is slow');
			}
		});
	}

	retryShare.recordRequest(service);
	if (!sendOn('first send')) {
		giveUp('no target of the service is usable');
	}

	return {
		get isDone() {
			return ending.isDone;
		},
		get mayHaveRun() {
			return isSent();
		},
		callerDisconnected() {
			if (isIdempotent || attempts.size === 0) {
				ending.abort('caller left');
			}
		},
		giveUp,
	};
}
