import {createEngineSearch} from './engine-search.js';
import {createSessionCompletion} from './session-completion.js';
import type {AdmittedRequest, CallerResponse} from './session-types.js';
import {createStreamResponse} from './stream-answer.js';
import {createStreamAttempt, type StreamAttempt} from './stream-attempt.js';
import {createLostRunRecovery} from './lost-run-recovery.js';
import type {RunCopy} from './run-copies.js';
import {createRunContinuation} from './run-continuation.js';
import {createRunStop} from './run-stop.js';
import {createSilentRuns} from './silent-runs.js';
import {createStallDetector} from './stall-detector.js';
import {createContinuationRetries} from './continuation-retries.js';
import {createStreamCopies} from './stream-copies.js';
import {createStreamDelivery} from './stream-delivery.js';
import {createStreamFailures} from './stream-failures.js';
import type {
	StreamPlacement,
	StreamSession,
	StreamSessionOptions,
} from './stream-session-types.js';

/** `Retry-After` for a stream that no engine has run, in milliseconds. */
const retryAfterMs = 400;
/** Priority of a late generation; less urgent than the engines' default, which is 5. */
const latePriority = 7;

/** Id of the last event that the caller has from an earlier request; 0 for none, undefined if it names none that is a number. */
function callerEventIdOf({
	route,
	request,
}: AdmittedRequest): number | undefined {
	const {lastEventId} = request;
	if (!route.resumable || lastEventId === undefined) {
		return 0;
	}

	return /^\d+$/.test(lastEventId) ? Number(lastEventId) : undefined;
}

/**
 * Serves one stream. A generation that may have started is never started again. It continues at
 * another engine only from a copy of its KV cache, after the previous send was cancelled, and events
 * that the caller already has are skipped.
 */
export function startStreamSession(
	admitted: AdmittedRequest,
	callerResponse: CallerResponse,
	options: StreamSessionOptions,
): StreamSession {
	const {clock, timers, retryShare, log} = options;
	const {request, service} = admitted;
	const avoid = new Set<string>();
	let send: StreamAttempt | undefined;
	let mayHaveRunEarlier = false;
	const response = createStreamResponse(
		callerResponse,
		admitted.arrivedMs,
		callerEventIdOf(admitted),
	);
	const stallDetector = createStallDetector(clock, response);
	const continuationRetries = createContinuationRetries(admitted, options);

	const closeSend = () => {
		send?.close();
		send = undefined;
	};

	const completion = createSessionCompletion({
		logMessage: 'stream ended',
		admitted,
		callerResponse,
		clock,
		timers,
		log,
		retryAfterMs,
		release() {
			engineSearch.dispose();
			continuationRetries.dispose();
			continuation.dispose();
			const target = send?.placement.target.id;
			callerSubscription.dispose();
			closeSend();
			return {
				target,
				events: response.eventCount,
				moves: continuation.count,
				...response.eventTiming.logFields(),
			};
		},
		onTimeout() {
			handleTimeout();
		},
	});
	const copies = createStreamCopies(admitted, options, avoid, {
		get eventCount() {
			return response.eventCount;
		},
		get isDone() {
			return completion.isDone;
		},
	});

	/** True while an engine may have run, or may still run, the request; false again after a refusal. */
	const mayHaveRun = () => send !== undefined || mayHaveRunEarlier;

	const giveUp = (reason: string, afterMs?: number) => {
		completion.sendUnanswered(mayHaveRun(), reason, afterMs);
	};

	const engineSearch = createEngineSearch(admitted, options, avoid, {
		onPlaced(placement, reason) {
			dispatch(placement, undefined, reason);
		},
		onRefused: giveUp,
	});

	const dispatch = (
		placement: StreamPlacement,
		continueFrom: RunCopy | undefined,
		reason: string,
	) => {
		// A callback of the last send may have ended the session.
		if (completion.isDone) {
			return;
		}

		stallDetector.progressed();
		const attempt = createStreamAttempt(
			{
				admitted,
				placement,
				priority: priorityOf(placement),
				continueFrom,
				response,
				reason,
			},
			options,
			{
				...delivery,
				onOtherResponse: failures.onOtherResponse,
				onFailure: failures.onSendFailed,
			},
		);
		send = attempt;
		attempt.start();
	};

	const continuation = createRunContinuation({
		admitted,
		session: options,
		copies,
		retries: continuationRetries,
		dispatch,
	});

	const lostRunRecovery = createLostRunRecovery({
		admitted,
		session: options,
		copies,
		continuation,
		response,
		giveUp,
	});
	const isCurrent = (attempt: StreamAttempt) => send === attempt;
	const runStop = createRunStop({
		admitted,
		session: options,
		copies,
		isCurrent,
	});
	const silentRuns = createSilentRuns({
		admitted,
		session: options,
		stallDetector,
		retries: continuationRetries,
		copies,
		runStop,
		passedEventId: () => response.lastEventId ?? callerEventIdOf(admitted) ?? 0,
		isCurrent,
		onLost(attempt, failure, isGranted) {
			failures.onFailure(attempt, failure, isGranted);
		},
		onFailed(attempt, failure) {
			failures.onSendFailed(attempt, failure);
		},
		giveUp,
	});

	/** Lowers the priority of a late generation, so that it does not delay those that can be on time. */
	const priorityOf = (placement: StreamPlacement) =>
		response.eventCount === 0 && placement.isLate
			? latePriority
			: admitted.priority;

	const recordMayHaveRun = () => {
		mayHaveRunEarlier = true;
	};

	const failures = createStreamFailures({
		admitted,
		callerResponse,
		session: options,
		response,
		avoid,
		completion,
		stallDetector,
		engineSearch,
		continuation,
		lostRunRecovery,
		runStop,
		onTimedOut(attempt, failure) {
			silentRuns.connectionTimedOut(attempt, failure);
		},
		closeSend,
		recordMayHaveRun,
		giveUp,
	});
	const delivery = createStreamDelivery({
		admitted,
		callerResponse,
		session: options,
		response,
		completion,
		stallDetector,
		copies,
		recordMayHaveRun,
		onFailure: failures.onSendFailed,
	});

	/** The caller takes bytes again; until then its run counts neither as stalled nor as silent. */
	const callerSubscription = callerResponse.onDrained(() => {
		stallDetector.progressed();
		send?.resume();
	});

	const handleTimeout = () => {
		if (mayHaveRun()) {
			completion.sendTimeout();
		} else {
			giveUp('no engine in time');
		}
	};

	/** False while the caller holds the run up, or it could not continue elsewhere. */
	const mayLeaveSilent = () =>
		!callerResponse.isCongested && options.heldReason(request) === undefined;

	retryShare.recordRequest(service);
	engineSearch.start('first send', false);

	return {
		get isDone() {
			return completion.isDone;
		},
		get run() {
			return send
				? {
						placementId: send.placement.id,
						admitted,
						target: send.placement.target,
						backup: send.placement.backup,
						eventCount: response.eventCount,
					}
				: undefined;
		},
		get mayHaveRun() {
			return mayHaveRun();
		},
		callerDisconnected() {
			completion.abort('caller left');
		},
		giveUp,
		engineUnusable(targetId) {
			const {target, backup} = send?.placement ?? {};
			if (send && (target?.id === targetId || backup?.id === targetId)) {
				copies.ensureCopy(send);
			}
		},
		tick() {
			if (send && !send.isOver) {
				copies.tick(send);
			}

			if (send && !send.isOver && mayLeaveSilent()) {
				silentRuns.check(send);
			}
		},
	};
}
