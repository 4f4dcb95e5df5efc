import {
	misdirectedStatus,
	type Disposable,
	type ResponseHead,
	type SendFailure,
	type TargetEntry,
} from '../../common/index.js';
import {createCallAttempt, type CallAttempt} from './call-attempt.js';
import {createCallSearch} from './call-search.js';
import type {CallSessionOptions} from './call-session-types.js';
import type {TargetPermit} from './call-target-search.js';
import {promisesNotRun} from './refusals.js';
import {createSessionCompletion} from './session-completion.js';
import type {
	AdmittedRequest,
	CallerResponse,
	ServingSession,
} from './session-types.js';

/** Time without a response after which an idempotent request is hedged at a second target, in milliseconds. */
const hedgeAfterMs = 250;
/** Time left below which a request is not sent, since it could not succeed, in milliseconds. */
const minSendMs = 20;
/** `Retry-After` for a call that no target has run, in milliseconds. */
const retryAfterMs = 300;
const firstServerErrorStatus = 500;
/**
 * Fraction of the objective that a call may wait for its turn at a target with a rate limit; the rest is
 * left for the target, so that the answer is on time.
 */
const turnWaitFraction = 0.5;

/**
 * Serves one call to a plain service. A non-idempotent call is retried only if the target certainly
 * did not run it: the connection failed before the request was sent, or the target said so.
 */
export function startCallSession(
	admitted: AdmittedRequest,
	callerResponse: CallerResponse,
	options: CallSessionOptions,
): ServingSession {
	const {clock, timers, retryShare, log} = options;
	const {request, route, service} = admitted;
	const isIdempotent = route.kind === 'idempotent';
	const tried = new Set<string>();
	const attempts = new Set<CallAttempt>();
	/** Sends, except those that failed before the request was sent. */
	let sendCount = 0;
	/** Ended sends after which the target may have run the request. */
	let mayHaveRunCount = 0;
	/** Last 5xx response of a target; forwarded if the request is not sent again. */
	let lastErrorResponse: {head: ResponseHead; body: Uint8Array} | undefined;
	let hedge: Disposable | undefined;
	let hasCallerLeft = false;

	const leftMs = () => admitted.deadlineMs - clock.nowMs();

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
			search.dispose();
			for (const attempt of attempts) {
				attempt.cancel();
			}

			attempts.clear();
			return {targetsTried: tried.size};
		},
		onTimeout() {
			handleTimeout();
		},
	});
	/** True while a target may have run, or may still run, the request; false again after a refusal. */
	const mayHaveRun = () => mayHaveRunCount > 0 || attempts.size > 0;

	const maySendAgain = () =>
		mayHaveRunCount === 0 ||
		(isIdempotent && mayHaveRunCount < route.maxAttempts);

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

	/** Gives up unless a send is still open. */
	const giveUpIfIdle = (reason: string, afterMs?: number) => {
		if (!completion.isDone && attempts.size === 0) {
			giveUp(reason, afterMs);
		}
	};

	const send = (
		target: TargetEntry,
		permit: TargetPermit | undefined,
		reason: string,
	) => {
		tried.add(target.id);
		sendCount++;
		log('call sent', {
			request: request.id,
			route: route.name,
			target: target.id,
			reason,
			restricted: options.restrictedTargets(service),
			leavesZone: options.leavingReason(target),
			leftMs: Math.round(leftMs()),
			...(permit && {
				limitPerSecond: permit.requestsPerSecond,
				turnWaitMs: Math.round(permit.waitMs),
				permitBy: permit.decidedBy,
			}),
		});
		const attempt = createCallAttempt(admitted, target, options, {
			isWanted: () => !hasCallerLeft,
			onResponse: handleResponse,
			onFailure: handleFailure,
		});
		attempts.add(attempt);
		attempt.start();
	};

	const search = createCallSearch(admitted, options, tried, {
		maySend: () => maySendAgain() && leftMs() >= minSendMs,
		isRetry: () => sendCount > 0,
		onFound: send,
		onNotAllowed(reason) {
			giveUpIfIdle(reason);
		},
		onNone(searchReason, reason, afterMs) {
			const isLimited = afterMs !== undefined;
			const isFirst = tried.size === 0;
			giveUpIfIdle(isLimited || isFirst ? searchReason : reason, afterMs);
		},
	});

	/** Sends the request to a target that has not received it yet, at once or when its turn comes. */
	const sendToNextTarget = (reason: string, maxWaitMs: number) => {
		if (leftMs() < minSendMs) {
			giveUpIfIdle(reason);
		} else {
			search.start(reason, maxWaitMs);
		}
	};

	const maxTurnWaitMs = () =>
		Math.min(route.objectiveMs, leftMs()) * turnWaitFraction;

	const retryOrGiveUp = (reason: string) => {
		if (completion.isDone || attempts.size > 0 || search.isActive) {
			return;
		}

		if (hasCallerLeft) {
			completion.abort('caller left');
		} else if (maySendAgain()) {
			sendToNextTarget(reason, maxTurnWaitMs());
		} else {
			giveUp(reason);
		}
	};

	const recordResult = (attempt: CallAttempt, isAnswered: boolean) => {
		const latencyMs = clock.nowMs() - attempt.startedMs;
		options.onSendResult(attempt.target, isAnswered, latencyMs);
		attempt.recordOutcome(isAnswered, latencyMs);
	};

	const handleFailure = (attempt: CallAttempt, failure: SendFailure) => {
		const {target} = attempt;
		attempts.delete(attempt);
		// A send that this VM itself has ended says nothing of the target.
		if (!failure.withheld && failure.defect !== 'no-memory') {
			recordResult(attempt, false);
		}

		log('call attempt failed', {
			request: request.id,
			target: target.id,
			unsent: failure.unsent,
			reason: failure.reason,
			defect: failure.defect,
		});
		if (failure.defect) {
			options.onDefectiveResponse(target, failure.defect);
		}

		if (failure.unsent) {
			sendCount--;
			if (!failure.withheld) {
				options.onUnreachable(target);
			}
		} else {
			mayHaveRunCount++;
		}

		retryOrGiveUp(failure.unsent ? 'target unreachable' : 'answer lost');
	};

	const handleResponse = (
		attempt: CallAttempt,
		head: ResponseHead,
		body: Uint8Array,
	) => {
		const {target} = attempt;
		attempts.delete(attempt);
		if (
			head.notExecuted ||
			(head.status === misdirectedStatus && !head.isFromTarget)
		) {
			if (head.status === misdirectedStatus) {
				options.onMisdirected(target);
			}

			recordResult(attempt, head.status !== firstServerErrorStatus);
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
		recordResult(attempt, isSuccess && isTargetResponse);
		mayHaveRunCount++;
		if (!isTargetResponse || promisesNotRun(head.status)) {
			retryOrGiveUp('answer without the mark of a target');
			return;
		}

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
			const isHedgeable = attempts.size === 1 && mayHaveRunCount === 0;
			if (!completion.isDone && !search.isActive && isHedgeable) {
				sendToNextTarget('first target is slow', 0);
			}
		});
	}

	retryShare.recordRequest(service);
	sendToNextTarget('first send', maxTurnWaitMs());

	return {
		get isDone() {
			return completion.isDone;
		},
		get mayHaveRun() {
			return mayHaveRun();
		},
		callerDisconnected() {
			hasCallerLeft = true;
			if (isIdempotent || attempts.size === 0) {
				completion.abort('caller left');
			}
		},
		giveUp,
	};
}
