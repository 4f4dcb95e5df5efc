import type {
	ResponseHead,
	KvCacheCopy,
	SendFailure,
} from '../../common/index.js';
import {createEngineSearch} from './engine-search.js';
import type {StreamEvent} from './event-splitter.js';
import {promisesNotRun, misdirectedStatus} from './refusals.js';
import {createSessionCompletion} from './session-completion.js';
import type {AdmittedRequest, CallerResponse} from './session-types.js';
import {createStreamResponse} from './stream-answer.js';
import {createStreamAttempt, type StreamAttempt} from './stream-attempt.js';
import {continuationPlacement, type RunCopy} from './run-copies.js';
import {createStallDetector} from './stall-detector.js';
import {createContinuationRetries} from './continuation-retries.js';
import {createStreamCopies} from './stream-copies.js';
import type {
	StreamPlacement,
	StreamSession,
	StreamSessionOptions,
} from './stream-session-types.js';

const retryAfterMs = 400;
/** Below the default of the engines, which is 5. */
const latePriority = 7;
const minSendMs = 50;

/**
 * Serves one stream. A run is started once. It goes on at another engine only from a copy of its
 * memory, after the send before has been broken off, and events that the caller has are left out.
 */
export function startStreamSession(
	admitted: AdmittedRequest,
	reply: CallerResponse,
	options: StreamSessionOptions,
): StreamSession {
	const {clock, timers, retryShare, log} = options;
	const {request, service} = admitted;
	const avoid = new Set<string>();
	let send: StreamAttempt | undefined;
	let mayHaveRun = false;
	let moves = 0;
	const answer = createStreamResponse(reply, admitted.arrivedMs);
	const silence = createStallDetector(clock, answer);
	const leave = createContinuationRetries(admitted, options);

	const closeSend = () => {
		send?.close();
		send = undefined;
	};

	const ending = createSessionCompletion({
		logMessage: 'stream ended',
		admitted,
		reply,
		clock,
		timers,
		log,
		retryAfterMs,
		release() {
			engineWait.dispose();
			leave.dispose();
			const target = send?.placement.target.id;
			closeSend();
			return {
				target,
				events: answer.eventCount,
				moves,
				...answer.pauses.logFields(),
			};
		},
		onTimeout() {
			timedOut();
		},
	});
	const copies = createStreamCopies(admitted, options, avoid, {
		get eventCount() {
			return answer.eventCount;
		},
		get isDone() {
			return ending.isDone;
		},
	});

	/** True once an engine may have the request. */
	const isSent = () => send !== undefined || mayHaveRun;

	const giveUp = (reason: string, afterMs?: number) => {
		ending.sendUnanswered(isSent(), reason, afterMs);
	};

	const engineWait = createEngineSearch(admitted, options, avoid, {
		onPlaced(placement, reason) {
			dispatch(placement, undefined, reason);
		},
		onRefused: giveUp,
	});

	const dispatch = (
		placement: StreamPlacement,
		continueFrom: KvCacheCopy | undefined,
		reason: string,
	) => {
		silence.progressed();
		const attempt = createStreamAttempt(
			{
				admitted,
				placement,
				priority: priorityOf(placement),
				continueFrom,
				answer,
				reason,
			},
			options,
			{onEvent, onEnd, onOtherResponse, onFailure},
		);
		send = attempt;
		attempt.start();
	};

	/** A late generation yields to those that can be on time. */
	const priorityOf = (placement: StreamPlacement) =>
		answer.eventCount === 0 && placement.isLate
			? latePriority
			: admitted.priority;

	/** Continues a lost run from the next copy of its memory. */
	const continueRun = (
		reason: string,
		orElse: () => void,
		isGranted = false,
	) => {
		const copy = copies.nextCopy();
		const leftMs = admitted.deadlineMs - clock.nowMs();
		if (!copy || leftMs < minSendMs) {
			orElse();
			return;
		}

		if (isGranted) {
			continueAt(copy, reason);
			return;
		}

		leave.request((isGrantedNow) => {
			if (isGrantedNow) {
				continueAt(copy, reason);
			} else {
				orElse();
			}
		});
	};

	const continueAt = ({target, kvCache}: RunCopy, reason: string) => {
		moves++;
		dispatch(
			continuationPlacement(target, `${request.id}.m${moves}`),
			kvCache,
			reason,
		);
	};

	const onEvent = (
		current: StreamAttempt,
		event: StreamEvent,
		head: ResponseHead,
	) => {
		const nowMs = clock.nowMs();
		mayHaveRun = true;
		if (event.id !== undefined) {
			// A comment shows that the connection lives, not that the run goes on.
			silence.progressed();
		}

		const isFirst = answer.eventCount === 0;
		const outcome = answer.forward(event, head, nowMs);
		if (outcome === 'gap') {
			onFailure(current, {
				unsent: false,
				reason: `event ${event.id} follows event ${answer.lastEventId}`,
			});
		} else if (outcome === 'forwarded') {
			current.tracker.progressed(answer.eventCount);
			if (isFirst) {
				const {target} = current.placement;
				options.onSendResult(target, true, nowMs - current.startedMs);
			}
		}
	};

	/** @param isGranted - true if the send that continues the run was granted already */
	const onFailure = (
		current: StreamAttempt,
		failure: SendFailure,
		isGranted = false,
	) => {
		if (current.isOver || ending.isDone) {
			return;
		}

		const {target} = current.placement;
		log('stream attempt failed', {
			request: request.id,
			target: target.id,
			unsent: failure.unsent,
			reason: failure.reason,
			events: answer.eventCount,
			silentMs: Math.round(silence.silentMs),
		});
		options.onSendResult(target, false, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		closeSend();
		if (failure.unsent) {
			options.onUnreachable(target);
			if (current.isContinuation) {
				continueRun('copy unreachable', () => {
					giveUp('the copy of the run is lost');
				});
			} else {
				engineWait.start('target unreachable', false);
			}

			return;
		}

		mayHaveRun = true;
		copies.runLost(current);
		const cut = () => {
			giveUp('the run was lost');
		};

		continueRun('run lost', cut, isGranted);
	};

	const onEnd = (current: StreamAttempt, head: ResponseHead) => {
		options.onFinished(admitted, answer.eventCount);
		copies.releaseCopies(current);
		ending.endStream(head.status);
	};

	const onOtherResponse = (
		current: StreamAttempt,
		head: ResponseHead,
		body: Uint8Array,
	) => {
		const {target} = current.placement;
		const refused = head.notExecuted || head.status === misdirectedStatus;
		options.onSendResult(target, refused, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		log('stream not served', {
			request: request.id,
			target: target.id,
			status: head.status,
			notExecuted: refused,
			continuesAt: current.isContinuation ? answer.lastEventId : undefined,
		});
		closeSend();
		if (head.status === misdirectedStatus) {
			options.onMisdirected(target);
		}

		if (refused && !current.isContinuation) {
			engineWait.start('engine refused', true);
			return;
		}

		const endHere = () => {
			notContinued(head, body);
		};

		if (refused) {
			continueRun('copy refused', endHere);
		} else {
			endHere();
		}
	};

	const notContinued = (head: ResponseHead, body: Uint8Array) => {
		mayHaveRun = true;
		if (reply.isHeadSent || !head.isFromTarget || promisesNotRun(head.status)) {
			giveUp('the run could not be continued');
			return;
		}

		ending.sendResponse(head, body, 'target failed');
	};

	const timedOut = () => {
		if (isSent()) {
			ending.sendTimeout();
		} else {
			giveUp('no engine in time');
		}
	};

	retryShare.recordRequest(service);
	engineWait.start('first send', false);

	return {
		get isDone() {
			return ending.isDone;
		},
		get run() {
			return send
				? {
						placementId: send.placement.id,
						admitted,
						target: send.placement.target,
						backup: send.placement.backup,
						eventCount: answer.eventCount,
					}
				: undefined;
		},
		get mayHaveRun() {
			return isSent();
		},
		callerDisconnected() {
			ending.abort('caller left');
		},
		giveUp,
		engineUnusable(targetId) {
			const {target, backup} = send?.placement ?? {};
			if (send && (target?.id === targetId || backup?.id === targetId)) {
				copies.ensureCopy(send);
			}
		},
		tick() {
			const current = send;
			if (!current || current.isOver) {
				return;
			}

			if (
				silence.isStalled &&
				leave.mayRequest &&
				copies.hasUsableCopy(current)
			) {
				// A run that may not be continued is left alone; its engine may go on.
				leave.request((isGranted) => {
					if (isGranted && send === current) {
						const reason = 'the engine is silent';
						onFailure(current, {unsent: false, reason}, true);
					}
				});
			}
		},
	};
}
