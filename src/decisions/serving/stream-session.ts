import type {
	AnswerHead,
	Clock,
	Disposable,
	RunMemory,
	SendFailure,
	TargetEntry,
	TargetLink,
	Timers,
} from '../../common/index.js';
import {decideWait} from './generation-wait.js';
import {createEventSplitter, type EventSplitter} from './event-splitter.js';
import {ownStatus, refuseNotRun} from './refusals.js';
import type {RetryShare} from './retry-share.js';
import type {
	AdmittedRequest,
	CallerReply,
	DecisionLog,
	ServingSession,
} from './session-types.js';

/** Where a run goes, and where a copy of its memory is kept. */
export type StreamPlacement = {
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly firstTokenMs: number;
	/** Part of the engine's memory that is expected to be in use at the peak. */
	readonly memoryPart: number;
	readonly capacityTokens: number;
};

/** A run as others see it. */
export type StreamRun = {
	readonly admitted: AdmittedRequest;
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly eventCount: number;
};

/** Counts what a run holds at its engine. */
export type RunAccount = Disposable & {
	/** Another event has arrived. */
	progressed(eventCount: number): void;
};

/** What streams work with. */
export type StreamSessionOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly link: TargetLink;
	readonly retryShare: RetryShare;
	readonly log: DecisionLog;
	/** Chooses an engine that is not to be avoided. */
	readonly place: (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
	) => StreamPlacement | undefined;
	/** Chooses an engine that takes over a run from one that leaves. */
	readonly placeMove: (
		admitted: AdmittedRequest,
		from: TargetEntry,
		avoid: ReadonlySet<string>,
	) => TargetEntry | undefined;
	/** Chooses a backup for a run that goes on at a target. */
	readonly placeBackup: (
		admitted: AdmittedRequest,
		targetId: string,
	) => TargetEntry | undefined;
	/** True while a target may get requests. */
	readonly isUsable: (targetId: string) => boolean;
	readonly opened: (run: StreamRun) => RunAccount;
	readonly ended: (
		target: TargetEntry,
		succeeded: boolean,
		latencyMs: number,
	) => void;
	/** Nothing accepts connections at the address. */
	readonly unreachable: (target: TargetEntry) => void;
	readonly misdirected: (target: TargetEntry) => void;
	/** The answer is whole. */
	readonly finished: (admitted: AdmittedRequest, eventCount: number) => void;
};

/** A stream under way. */
export type StreamSession = ServingSession & {
	/** True once the caller has its final answer. */
	readonly isDone: boolean;
	readonly run: StreamRun | undefined;
	/** An engine is about to leave. */
	engineLeaving(targetId: string): void;
	/** Checks for silence; called regularly. */
	tick(): void;
};

type RunCopy = {readonly target: TargetEntry; readonly memory: RunMemory};

type Send = {
	readonly placement: StreamPlacement;
	readonly startedMs: number;
	readonly splitter: EventSplitter;
	readonly chunks: Uint8Array[];
	readonly account: RunAccount;
	/** True if the send continues a run. */
	readonly continues: boolean;
	handle: Disposable | undefined;
	head: AnswerHead | undefined;
	isOver: boolean;
	isMoving: boolean;
	/** Copy of the run's memory that was made because its engine leaves. */
	copy: RunCopy | undefined;
};

/** Pause between events after which a run with a copy elsewhere is continued there, in milliseconds. */
const silenceMs = 900;
/** Time without a first event after which a run with a copy elsewhere is continued there, in milliseconds. */
const firstEventSilenceMs = 4000;
const copyTimeoutMs = 2500;
const retryAfterMs = 400;
/** Interval at which a waiting generation asks again for an engine, in milliseconds. */
const waitStepMs = 30;
const minSendMs = 50;
const misdirectedStatus = 421;
const okStatus = 200;
/** Bounds the copies of a run whose engine says that it leaves and stays. */
const maxCopyAttempts = 16;
const copyRetryMs = 150;
/** Time after which a copy is brought up to date, in milliseconds. */
const copyRenewMs = 500;

function backupOf(
	target: TargetEntry | undefined,
	requestId: string,
): RunCopy | undefined {
	return (
		target && {target, memory: {address: target.address, handle: requestId}}
	);
}

function isPromise(status: number): boolean {
	return status === 408 || status === 421 || status === 429 || status === 503;
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
	let send: Send | undefined;
	let waiting: Disposable | undefined;
	let isDone = false;
	let mayHaveRun = false;
	let lastEventId: number | undefined;
	let eventCount = 0;
	let lastProgressMs = clock.nowMs();
	let moves = 0;
	let firstEventMs: number | undefined;
	let lastEventMs = 0;
	let longestGapMs = 0;
	let longestGapAt: number | undefined;

	const leftMs = () => admitted.deadlineMs - clock.nowMs();

	const closeSend = () => {
		if (send && !send.isOver) {
			send.isOver = true;
			send.handle?.dispose();
			send.account.dispose();
		}

		send = undefined;
	};

	const finish = (
		answer: () => void,
		outcome: string,
		status: number | undefined,
	) => {
		if (isDone) {
			return;
		}

		isDone = true;
		timeout.dispose();
		waiting?.dispose();
		const target = send?.placement.target.id;
		closeSend();
		answer();
		log('stream ended', {
			request: request.id,
			route: route.name,
			outcome,
			status,
			target,
			events: eventCount,
			moves,
			firstEventMs:
				firstEventMs === undefined
					? undefined
					: Math.round(firstEventMs - admitted.arrivedMs),
			longestGapMs: Math.round(longestGapMs),
			longestGapAt,
			durationMs: Math.round(clock.nowMs() - admitted.arrivedMs),
		});
	};

	const giveUp = (reason: string) => {
		if (reply.hasHead) {
			finish(
				() => {
					reply.abort();
				},
				reason,
				undefined,
			);
		} else if (mayHaveRun) {
			finish(
				() => {
					reply.own(ownStatus.outcomeUnknown, reason);
				},
				reason,
				ownStatus.outcomeUnknown,
			);
		} else {
			finish(
				() => {
					refuseNotRun(reply, reason, retryAfterMs);
				},
				reason,
				ownStatus.notRun,
			);
		}
	};

	const dispatch = (
		placement: StreamPlacement,
		continueFrom: RunMemory | undefined,
		reason: string,
	) => {
		const current: Send = {
			placement,
			startedMs: clock.nowMs(),
			splitter: createEventSplitter(),
			chunks: [],
			account: options.opened({
				admitted,
				target: placement.target,
				backup: placement.backup,
				eventCount,
			}),
			continues: continueFrom !== undefined,
			handle: undefined,
			head: undefined,
			isOver: false,
			isMoving: false,
			copy: undefined,
		};
		send = current;
		lastProgressMs = clock.nowMs();
		log('stream sent', {
			request: request.id,
			route: route.name,
			target: placement.target.id,
			backup: placement.backup?.id,
			continuesAt: continueFrom ? lastEventId : undefined,
			expectedFirstTokenMs: Math.round(placement.firstTokenMs),
			expectedMemoryPart: Number(placement.memoryPart.toFixed(2)),
			waitedMs: Math.round(clock.nowMs() - admitted.arrivedMs),
			reason,
			leftMs: Math.round(leftMs()),
		});
		const callerEventId = route.resumable ? request.lastEventId : undefined;
		current.handle = link.send(
			placement.target.address,
			request,
			{
				expectedTargetId: placement.target.id,
				account: admitted.account,
				timeoutMs: leftMs(),
				priority: admitted.priority,
				backupAddress: placement.backup?.address,
				continueFrom,
				lastEventId: lastEventId === undefined ? callerEventId : String(lastEventId),
			},
			{
				onHead(head) {
					current.head = head;
				},
				onData(chunk) {
					received(current, chunk);
				},
				onEnd() {
					ended(current);
				},
				onFailure(failure) {
					failed(current, failure);
				},
			},
		);
	};

	const waitFor = (placement: StreamPlacement) =>
		decideWait({
			memoryPart: placement.memoryPart,
			firstTokenMs: placement.firstTokenMs,
			waitedMs: clock.nowMs() - admitted.arrivedMs,
			objectiveMs: route.objectiveMs,
			neededTokens: request.generation?.promptTokens ?? 0,
			capacityTokens: placement.capacityTokens,
		});

	/** Starts the run at an engine that has not refused it. */
	const start = (reason: string, isRepeat: boolean) => {
		const placement = options.place(admitted, avoid);
		const decision = placement && waitFor(placement);
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

	/** Continues the run where the copy of its memory lies. */
	const continueAt = (
		target: TargetEntry | undefined,
		memory: RunMemory | undefined,
		reason: string,
	): boolean => {
		if (!target || !memory || isDone || leftMs() < minSendMs) {
			return false;
		}

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
	const continueLost = (lost: Send, reason: string): boolean => {
		const {backup} = lost.placement;
		const copy = lost.copy ?? backupOf(backup, request.id);
		return continueAt(copy?.target, copy?.memory, reason);
	};

	const noteEvent = () => {
		const nowMs = clock.nowMs();
		if (firstEventMs === undefined) {
			firstEventMs = nowMs;
		} else if (nowMs - lastEventMs > longestGapMs) {
			longestGapMs = nowMs - lastEventMs;
			longestGapAt = eventCount;
		}

		lastEventMs = nowMs;
	};

	const isForeign = (head: AnswerHead) =>
		head.requestId !== undefined && head.requestId !== request.id;

	const isEventStream = (head: AnswerHead) =>
		head.status === okStatus && head.stamped && !head.encoded;

	const received = (current: Send, chunk: Uint8Array) => {
		const {head} = current;
		if (current.isOver || !head) {
			return;
		}

		if (isForeign(head)) {
			link.renew(current.placement.target.address);
			failed(current, {unsent: false, reason: 'answer of another request'});
			return;
		}

		if (!isEventStream(head)) {
			current.chunks.push(chunk);
			return;
		}

		for (const event of current.splitter.push(chunk)) {
			if (isDone || current.isOver) {
				return;
			}

			forward(current, head, event.id, event.bytes);
		}
	};

	const forward = (
		current: Send,
		head: AnswerHead,
		id: number | undefined,
		bytes: Uint8Array,
	) => {
		mayHaveRun = true;
		lastProgressMs = clock.nowMs();
		if (id !== undefined && lastEventId !== undefined) {
			if (id <= lastEventId) {
				return;
			}

			if (id > lastEventId + 1) {
				failed(current, {
					unsent: false,
					reason: `event ${id} follows event ${lastEventId}`,
				});
				return;
			}
		}

		if (id !== undefined) {
			lastEventId = id;
		}

		if (!reply.hasHead) {
			reply.begin(head);
			options.ended(
				current.placement.target,
				true,
				clock.nowMs() - current.startedMs,
			);
		}

		eventCount++;
		noteEvent();
		reply.data(bytes);
		current.account.progressed(eventCount);
	};

	const failed = (current: Send, failure: SendFailure) => {
		if (current.isOver || isDone) {
			return;
		}

		const {target} = current.placement;
		log('stream attempt failed', {
			request: request.id,
			target: target.id,
			unsent: failure.unsent,
			reason: failure.reason,
			events: eventCount,
			silentMs: Math.round(clock.nowMs() - lastProgressMs),
		});
		options.ended(target, false, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		closeSend();
		if (failure.unsent) {
			options.unreachable(target);
		}

		if (failure.unsent) {
			if (current.continues) {
				giveUp('the copy of the run is lost');
			} else {
				start('target unreachable', false);
			}

			return;
		}

		mayHaveRun = true;
		if (!continueLost(current, 'run lost')) {
			giveUp('the run was lost');
		}
	};

	/** A copy that is not used would hold memory for some seconds. */
	const releaseCopy = ({copy, placement}: Send) => {
		if (copy) {
			link.releaseCopy(placement.target.address, copy.memory.handle);
		}
	};

	const ended = (current: Send) => {
		const {head, placement} = current;
		if (current.isOver || isDone || !head) {
			return;
		}

		if (isForeign(head)) {
			link.renew(placement.target.address);
			failed(current, {unsent: false, reason: 'answer of another request'});
			return;
		}

		if (isEventStream(head)) {
			if (current.splitter.hasRest || eventCount === 0) {
				failed(current, {unsent: false, reason: 'ended inside an event'});
				return;
			}

			options.finished(admitted, eventCount);
			releaseCopy(current);
			finish(
				() => {
					reply.end();
				},
				'answered',
				head.status,
			);
			return;
		}

		refusedOrFailed(current, head);
	};

	const refusedOrFailed = (current: Send, head: AnswerHead) => {
		const {target} = current.placement;
		const refused = head.notExecuted || head.status === misdirectedStatus;
		options.ended(target, refused, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		log('stream not served', {
			request: request.id,
			target: target.id,
			status: head.status,
			notExecuted: refused,
			continuesAt: current.continues ? lastEventId : undefined,
		});
		closeSend();
		if (head.status === misdirectedStatus) {
			options.misdirected(target);
		}

		if (refused && !current.continues) {
			start('engine refused', true);
			return;
		}

		mayHaveRun = true;
		if (reply.hasHead || !head.stamped || isPromise(head.status)) {
			giveUp('the run could not be continued');
			return;
		}

		const body = current.chunks[0] ?? new Uint8Array();
		finish(
			() => {
				reply.whole(head, body);
			},
			'target failed',
			head.status,
		);
	};

	const isLost = (current: Send) => current.isOver || isDone;

	/** Copies what the engine does not have yet; the run goes on meanwhile. */
	const copyTo = async (current: Send, to: TargetEntry) => {
		const {target} = current.placement;
		const result = await link.copyMemory(
			target.address,
			request.id,
			to.address,
			copyTimeoutMs,
		);
		if (result.outcome === 'copied') {
			current.copy = {target: to, memory: result.memory};
		}

		log('memory copied', {
			request: request.id,
			target: target.id,
			to: to.id,
			outcome: result.outcome,
			reason: result.outcome === 'failed' ? result.reason : undefined,
			events: eventCount,
		});
		return result.outcome;
	};

	/**
	 * Keeps a copy of the run at another engine until its own is gone. Answers the pattern "engines
	 * leave at two seconds' notice with many runs": the runs share one link, and a run that is
	 * stopped for its last part waits behind the others, so none is stopped.
	 */
	const keepCopy = async (current: Send) => {
		const {target} = current.placement;
		const refused = new Set([...avoid, target.id]);
		for (let attempt = 1; attempt <= maxCopyAttempts; attempt++) {
			const to =
				current.copy?.target ?? options.placeMove(admitted, target, refused);
			if (!to) {
				log('move impossible', {request: request.id, target: target.id});
				return;
			}

			const outcome = await copyTo(current, to);
			if (isLost(current)) {
				return;
			}

			if (outcome === 'copied') {
				await timers.sleep(copyRenewMs);
			} else if (outcome === 'unknown-run' || outcome === 'busy') {
				// The engine has not begun the run yet, or copies it already.
				await timers.sleep(copyRetryMs);
			} else {
				refused.add(to.id);
				current.copy = undefined;
			}

			if (isLost(current)) {
				return;
			}
		}
	};

	/** Moves the run if its engine leaves and no copy of its memory is safe elsewhere. */
	const evacuate = () => {
		const current = send;
		if (!current || isLost(current) || current.isMoving) {
			return;
		}

		const {target, backup} = current.placement;
		const isSafe = backup !== undefined && options.isUsable(backup.id);
		if (isSafe || options.isUsable(target.id)) {
			return;
		}

		current.isMoving = true;
		void keepCopy(current);
	};

	const timeout = timers.after(leftMs(), () => {
		if (reply.hasHead) {
			giveUp('timed out');
		} else if (send || mayHaveRun) {
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
	});

	retryShare.noteRequest(service);
	start('first send', false);

	return {
		get isDone() {
			return isDone;
		},
		get run() {
			return send
				? {
						admitted,
						target: send.placement.target,
						backup: send.placement.backup,
						eventCount,
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

			const limitMs = eventCount > 0 ? silenceMs : firstEventSilenceMs;
			const {backup} = current.placement;
			const canContinue =
				current.copy !== undefined ||
				(backup !== undefined && options.isUsable(backup.id));
			if (clock.nowMs() - lastProgressMs > limitMs && canContinue) {
				failed(current, {unsent: false, reason: 'the engine is silent'});
			}
		},
	};
}
