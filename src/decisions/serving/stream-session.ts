import type {
	AnswerHead,
	Disposable,
	RunMemory,
	SendFailure,
	TargetEntry,
} from '../../common/index.js';
import {decideWait, isLate, type WaitInputs} from './generation-wait.js';
import type {StreamEvent} from './event-splitter.js';
import {
	isPromise,
	ownStatus,
	replyUnanswered,
	unansweredStatus,
} from './refusals.js';
import {copyRenewMs, keepCopy, type RunCopy} from './run-copies.js';
import {createStreamAnswer} from './stream-answer.js';
import {createSessionEnding} from './session-ending.js';
import {createStreamAttempt, type StreamAttempt} from './stream-attempt.js';
import type {
	StreamPlacement,
	StreamSession,
	StreamSessionOptions,
} from './stream-session-types.js';
import type {AdmittedRequest, CallerReply} from './session-types.js';

/** Pause between events after which a run with a copy elsewhere is continued there, in milliseconds. */
const silenceMs = 900;
/** Time without a first event after which a run with a copy elsewhere is continued there, in milliseconds. */
const firstEventSilenceMs = 4000;
const retryAfterMs = 400;
/** Interval at which a waiting generation asks again for an engine, in milliseconds. */
const waitStepMs = 30;
/** Below the default of the engines, which is 5. */
const latePriority = 7;
const minSendMs = 50;
const misdirectedStatus = 421;
function backupOf(
	target: TargetEntry | undefined,
	requestId: string,
): RunCopy | undefined {
	return (
		target && {target, memory: {address: target.address, handle: requestId}}
	);
}

/**
 * Serves one stream. A run is started once. It goes on at another engine only from a copy of its
 * memory, after the send before has been broken off, and events that the caller has are left out.
 */
export function startStreamSession(
	admitted: AdmittedRequest,
	reply: CallerReply,
	options: StreamSessionOptions,
): StreamSession {
	const {clock, timers, link, retryShare, log} = options;
	const {request, route, service} = admitted;
	const avoid = new Set<string>();
	let send: StreamAttempt | undefined;
	let waiting: Disposable | undefined;
	let mayHaveRun = false;
	let lastProgressMs = clock.nowMs();
	let moves = 0;
	/** Copies of the lost run besides the one it goes on from. */
	let spareCopies: RunCopy[] = [];
	const answer = createStreamAnswer(reply, admitted.arrivedMs);

	const leftMs = () => admitted.deadlineMs - clock.nowMs();

	const closeSend = () => {
		send?.close();
		send = undefined;
	};

	const ending = createSessionEnding({
		event: 'stream ended',
		admitted,
		clock,
		timers,
		log,
		release() {
			waiting?.dispose();
			const target = send?.placement.target.id;
			closeSend();
			return {
				target,
				events: answer.eventCount,
				moves,
				...answer.pauses.record(),
			};
		},
		onTimeout() {
			timedOut();
		},
	});
	const {finish} = ending;

	const giveUp = (reason: string) => {
		if (reply.hasHead) {
			finish(
				() => {
					reply.abort();
				},
				reason,
				undefined,
			);
		} else {
			finish(
				() => {
					replyUnanswered(reply, mayHaveRun, reason, retryAfterMs);
				},
				reason,
				unansweredStatus(mayHaveRun),
			);
		}
	};

	const dispatch = (
		placement: StreamPlacement,
		continueFrom: RunMemory | undefined,
		reason: string,
	) => {
		lastProgressMs = clock.nowMs();
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
			(current) => ({
				onEvent(event, head) {
					forward(current, event, head);
				},
				onWhole(head) {
					ended(current, head);
				},
				onOtherAnswer(head, body) {
					notServed(current, head, body);
				},
				onFailure(failure) {
					failed(current, failure);
				},
			}),
		);
		send = attempt;
		attempt.start();
	};

	const waitInputs = (placement: StreamPlacement): WaitInputs => ({
		memoryPart: placement.memoryPart,
		firstTokenMs: placement.firstTokenMs,
		waitedMs: clock.nowMs() - admitted.arrivedMs,
		objectiveMs: route.objectiveMs,
		timeoutMs: admitted.deadlineMs - admitted.arrivedMs,
		neededTokens: request.generation?.promptTokens ?? 0,
		capacityTokens: placement.capacityTokens,
	});

	/** A late generation yields to those that can be on time. */
	const priorityOf = (placement: StreamPlacement) =>
		answer.eventCount === 0 && isLate(waitInputs(placement))
			? latePriority
			: admitted.priority;

	/** Starts the run at an engine that has not refused it. */
	const start = (reason: string, isRepeat: boolean) => {
		const placement = options.place(admitted, avoid);
		const decision = placement && decideWait(waitInputs(placement));
		if (!placement) {
			giveUp('no engine of the service is usable');
		} else if (decision === 'refuse') {
			giveUp('the prompt is larger than the memory of an engine');
		} else if (decision === 'wait') {
			waiting = timers.after(waitStepMs, () => {
				start(reason, isRepeat);
			});
		} else if (isRepeat && !retryShare.tryTake(service)) {
			giveUp('the retry budget is used up');
		} else {
			dispatch(placement, undefined, reason);
		}
	};

	const isUsable = (target: TargetEntry | undefined) =>
		target !== undefined && options.isUsable(target.id);

	/** Continues the run where a copy of its memory lies. */
	const continueAt = (copy: RunCopy | undefined, reason: string): boolean => {
		if (!copy || ending.isDone || leftMs() < minSendMs) {
			return false;
		}

		const {target, memory} = copy;

		if (!retryShare.tryTake(service)) {
			log('continuation denied', {request: request.id, reason: 'retry budget'});
			return false;
		}

		closeSend();
		moves++;
		dispatch(
			{
				target,
				backup: options.placeBackup(admitted, target.id),
				firstTokenMs: 0,
				memoryPart: 0,
				capacityTokens: 0,
			},
			memory,
			reason,
		);
		return true;
	};

	/** Continues a lost run from the copy made of late, or from its backup. */
	const continueLost = (lost: StreamAttempt, reason: string): boolean => {
		const copies = [lost.copy, backupOf(lost.placement.backup, request.id)];
		const [first, ...rest] = copies
			.filter((copy) => copy !== undefined)
			.sort((a, b) => Number(isUsable(b.target)) - Number(isUsable(a.target)));
		spareCopies = rest;
		return continueAt(first, reason);
	};

	const forward = (
		current: StreamAttempt,
		event: StreamEvent,
		head: AnswerHead,
	) => {
		const nowMs = clock.nowMs();
		mayHaveRun = true;
		lastProgressMs = nowMs;
		const isFirst = answer.eventCount === 0;
		const outcome = answer.take(event, head, nowMs);
		if (outcome === 'gap') {
			failed(current, {
				unsent: false,
				reason: `event ${event.id} follows event ${answer.lastEventId}`,
			});
		} else if (outcome === 'forwarded') {
			current.account.progressed(answer.eventCount);
			if (isFirst) {
				const {target} = current.placement;
				options.ended(target, true, nowMs - current.startedMs);
			}
		}
	};

	const failed = (current: StreamAttempt, failure: SendFailure) => {
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
			silentMs: Math.round(clock.nowMs() - lastProgressMs),
		});
		options.ended(target, false, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		closeSend();
		if (failure.unsent) {
			options.unreachable(target);
			if (!current.continues) {
				start('target unreachable', false);
			} else if (!continueAt(spareCopies.shift(), 'copy unreachable')) {
				giveUp('the copy of the run is lost');
			}

			return;
		}

		mayHaveRun = true;
		if (!continueLost(current, 'run lost')) {
			giveUp('the run was lost');
		}
	};

	/** A copy that is not used would hold memory for some seconds. */
	const releaseCopy = ({copy, placement}: StreamAttempt) => {
		if (copy) {
			link.releaseCopy(placement.target.address, copy.memory.handle);
		}
	};

	const ended = (current: StreamAttempt, head: AnswerHead) => {
		options.finished(admitted, answer.eventCount);
		releaseCopy(current);
		finish(
			() => {
				reply.end();
			},
			'answered',
			head.status,
		);
	};

	const notServed = (
		current: StreamAttempt,
		head: AnswerHead,
		body: Uint8Array,
	) => {
		const {target} = current.placement;
		const refused = head.notExecuted || head.status === misdirectedStatus;
		options.ended(target, refused, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		log('stream not served', {
			request: request.id,
			target: target.id,
			status: head.status,
			notExecuted: refused,
			continuesAt: current.continues ? answer.lastEventId : undefined,
		});
		closeSend();
		if (head.status === misdirectedStatus) {
			options.misdirected(target);
		}

		if (refused && !current.continues) {
			start('engine refused', true);
			return;
		}

		if (refused && continueAt(spareCopies.shift(), 'copy refused')) {
			return;
		}

		mayHaveRun = true;
		if (reply.hasHead || !head.stamped || isPromise(head.status)) {
			giveUp('the run could not be continued');
			return;
		}

		finish(
			() => {
				reply.whole(head, body);
			},
			'target failed',
			head.status,
		);
	};

	/** Copies the run's memory elsewhere once no copy of it is safe. */
	const evacuate = () => {
		const current = send;
		if (!current || current.isOver || ending.isDone || current.isMoving) {
			return;
		}

		const {target, backup} = current.placement;
		// A run at a sound engine can wait for notice of its leaving, if any would be heard.
		const isPresent = options.isPresent(target.id);
		const hasTime = isPresent && (!backup || options.hearsOfLeaving());
		if (isUsable(backup) || hasTime) {
			return;
		}

		current.isMoving = true;
		void keepCopy(
			{
				requestId: request.id,
				source: target,
				renewMs: isPresent ? copyRenewMs.guarding : copyRenewMs.leaving,
				isOver: () => current.isOver || ending.isDone,
				choose: (refused) =>
					options.placeMove(admitted, target, new Set([...avoid, ...refused])),
				onCopy(copy) {
					current.copy = copy;
				},
			},
			{link, timers, log},
		);
	};

	const timedOut = () => {
		if (reply.hasHead) {
			giveUp('timed out');
		} else if (send ?? mayHaveRun) {
			finish(
				() => {
					reply.own(ownStatus.timedOut, 'no answer in time');
				},
				'timed out',
				ownStatus.timedOut,
			);
		} else {
			giveUp('no engine in time');
		}
	};

	retryShare.noteRequest(service);
	start('first send', false);

	return {
		get isDone() {
			return ending.isDone;
		},
		get run() {
			return send
				? {
						admitted,
						target: send.placement.target,
						backup: send.placement.backup,
						eventCount: answer.eventCount,
					}
				: undefined;
		},
		callerLeft() {
			finish(
				() => {
					reply.abort();
				},
				'caller left',
				undefined,
			);
		},
		engineLeaving(targetId) {
			if (
				send?.placement.target.id === targetId ||
				send?.placement.backup?.id === targetId
			) {
				evacuate();
			}
		},
		tick() {
			const current = send;
			if (!current || current.isOver) {
				return;
			}

			const limitMs = answer.eventCount > 0 ? silenceMs : firstEventSilenceMs;
			const {backup} = current.placement;
			const canContinue = current.copy !== undefined || isUsable(backup);
			if (clock.nowMs() - lastProgressMs > limitMs && canContinue) {
				failed(current, {unsent: false, reason: 'the engine is silent'});
			}
		},
	};
}
