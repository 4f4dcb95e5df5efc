import {
	misdirectedStatus,
	type ResponseHead,
	type SendFailure,
} from '../../common/index.js';
import type {EngineSearch} from './engine-search.js';
import type {LostRunRecovery} from './lost-run-recovery.js';
import {promisesNotRun} from './refusals.js';
import type {RunContinuation} from './run-continuation.js';
import type {RunStop} from './run-stop.js';
import type {SessionCompletion} from './session-completion.js';
import type {AdmittedRequest, CallerResponse} from './session-types.js';
import type {StallDetector} from './stall-detector.js';
import type {StreamResponse} from './stream-answer.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamSessionOptions} from './stream-session-types.js';

/** Decides how a stream goes on after a send without a complete response. */
export type StreamFailures = {
	/** The send failed, or its response did. The run may still be in progress. */
	onSendFailed(attempt: StreamAttempt, failure: SendFailure): void;
	/**
	 * The send failed, and its run has ended or was not started.
	 * @param isGranted - true if the retry budget has already been charged for continuing the run
	 */
	onFailure(
		attempt: StreamAttempt,
		failure: SendFailure,
		isGranted?: boolean,
	): void;
	/** The response is not an unencoded 200 with the stamp of a target. */
	onOtherResponse(
		attempt: StreamAttempt,
		head: ResponseHead,
		body: Uint8Array,
	): void;
};

export type StreamFailuresOptions = {
	readonly admitted: AdmittedRequest;
	readonly callerResponse: CallerResponse;
	readonly session: StreamSessionOptions;
	readonly response: StreamResponse;
	/** Ids of engines that have refused or lost the generation; failed ones are added. */
	readonly avoid: Set<string>;
	readonly completion: SessionCompletion;
	readonly stallDetector: StallDetector;
	readonly engineSearch: EngineSearch;
	readonly continuation: RunContinuation;
	readonly lostRunRecovery: LostRunRecovery;
	readonly runStop: RunStop;
	/** Called when the connection of a run has timed out; its engine may not have noticed it. */
	readonly onTimedOut: (attempt: StreamAttempt, failure: SendFailure) => void;
	readonly closeSend: () => void;
	/** Records that an engine may have run the request. */
	readonly recordMayHaveRun: () => void;
	readonly giveUp: (reason: string) => void;
};

export function createStreamFailures({
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
	onTimedOut,
	closeSend,
	recordMayHaveRun,
	giveUp,
}: StreamFailuresOptions): StreamFailures {
	const {clock, log} = options;
	const {request} = admitted;

	const onSendFailed = (current: StreamAttempt, failure: SendFailure) => {
		if (current.isOver || completion.isDone) {
			return;
		}

		if (runStop.holdFailure(current, failure)) {
			return;
		}

		if (failure.timedOut && !failure.unsent) {
			onTimedOut(current, failure);
		} else {
			onFailure(current, failure);
		}
	};

	const onFailure = (
		current: StreamAttempt,
		failure: SendFailure,
		isGranted = false,
	) => {
		const {target} = current.placement;
		log('stream attempt failed', {
			request: request.id,
			target: target.id,
			unsent: failure.unsent,
			connectionEnded: failure.connectionEnded,
			reason: failure.reason,
			status: current.failedStatus,
			events: response.eventCount,
			silentMs: Math.round(stallDetector.silentMs),
			defect: failure.defect,
		});
		if (failure.defect) {
			options.onDefectiveResponse(target, failure.defect);
		}

		// A send that this VM has held back says nothing of the engine.
		if (!failure.withheld) {
			options.onSendResult(target, false, clock.nowMs() - current.startedMs);
		}

		avoid.add(target.id);
		closeSend();
		if (failure.unsent) {
			if (!failure.withheld) {
				options.onUnreachable(target);
			}

			if (current.isContinuation) {
				continuation.start('copy unreachable', () => {
					giveUp('the copy of the run is lost');
				});
			} else {
				engineSearch.start('target unreachable', false);
			}

			return;
		}

		recordMayHaveRun();
		lostRunRecovery.recover(current, failure, isGranted);
	};

	const onOtherResponse = (
		current: StreamAttempt,
		head: ResponseHead,
		body: Uint8Array,
	) => {
		const {target} = current.placement;
		const isRefused = head.notExecuted || head.status === misdirectedStatus;
		options.onSendResult(target, isRefused, clock.nowMs() - current.startedMs);
		avoid.add(target.id);
		log('stream not served', {
			request: request.id,
			target: target.id,
			status: head.status,
			notExecuted: isRefused,
			continuesAt: current.isContinuation ? response.lastEventId : undefined,
		});
		closeSend();
		if (head.status === misdirectedStatus) {
			options.onMisdirected(target);
		}

		if (isRefused && !current.isContinuation) {
			engineSearch.start('engine refused', true);
			return;
		}

		const endHere = () => {
			endWithoutContinuation(head, body);
		};

		if (isRefused) {
			continuation.start('copy refused', endHere);
		} else {
			endHere();
		}
	};

	const endWithoutContinuation = (head: ResponseHead, body: Uint8Array) => {
		recordMayHaveRun();
		if (
			callerResponse.isHeadSent ||
			!head.isFromTarget ||
			promisesNotRun(head.status)
		) {
			giveUp('the run could not be continued');
			return;
		}

		completion.sendResponse(head, body, 'target failed');
	};

	return {onSendFailed, onFailure, onOtherResponse};
}
