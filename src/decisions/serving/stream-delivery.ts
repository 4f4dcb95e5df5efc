import type {ResponseHead, SendFailure} from '../../common/index.js';
import type {StreamEvent} from './event-decoder.js';
import type {SessionCompletion} from './session-completion.js';
import type {AdmittedRequest, CallerResponse} from './session-types.js';
import type {StallDetector} from './stall-detector.js';
import type {StreamResponse} from './stream-answer.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';
import type {StreamSessionOptions} from './stream-session-types.js';

/** Passes the events of an engine on to the caller, up to the end of the stream. */
export type StreamDelivery = {
	/** @param events - events that are complete now, at least one, with successive ids */
	onEvents(
		attempt: StreamAttempt,
		events: readonly StreamEvent[],
		head: ResponseHead,
	): void;
	/**
	 * The stream ended after a complete event.
	 * @param lastEventId - id of the last event that the engine has sent
	 */
	onEnd(attempt: StreamAttempt, head: ResponseHead, lastEventId: number): void;
};

export type StreamDeliveryOptions = {
	readonly admitted: AdmittedRequest;
	readonly callerResponse: CallerResponse;
	readonly session: StreamSessionOptions;
	readonly response: StreamResponse;
	readonly completion: SessionCompletion;
	readonly stallDetector: StallDetector;
	readonly copies: StreamCopies;
	/** Records that an engine may have run the request. */
	readonly recordMayHaveRun: () => void;
	/** Called when the events of a send do not follow those that the caller has. */
	readonly onFailure: (attempt: StreamAttempt, failure: SendFailure) => void;
};

export function createStreamDelivery({
	admitted,
	callerResponse,
	session: options,
	response,
	completion,
	stallDetector,
	copies,
	recordMayHaveRun,
	onFailure,
}: StreamDeliveryOptions): StreamDelivery {
	const {clock} = options;
	const {request} = admitted;

	const onEvents = (
		current: StreamAttempt,
		events: readonly StreamEvent[],
		head: ResponseHead,
	) => {
		const nowMs = clock.nowMs();
		recordMayHaveRun();
		stallDetector.progressed();
		const countBefore = response.eventCount;
		const gapBefore = response.forward(events, head, nowMs);
		if (response.eventCount > countBefore) {
			current.tracker.progressed(response.eventCount);
			options.onProgress(
				request,
				countBefore - current.eventCountBefore,
				response.eventCount - current.eventCountBefore,
			);
			if (countBefore === 0) {
				const {target} = current.placement;
				options.onSendResult(target, true, nowMs - current.startedMs);
			}
		}

		if (gapBefore) {
			onFailure(current, {
				unsent: false,
				connectionEnded: false,
				reason: `event ${gapBefore.id} follows event ${response.lastEventId}`,
				defect: 'malformed',
			});
		} else if (callerResponse.isCongested) {
			current.pause();
		}
	};

	const onEnd = (
		current: StreamAttempt,
		head: ResponseHead,
		lastEventId: number,
	) => {
		if (lastEventId < (response.lastEventId ?? 0)) {
			onFailure(current, {
				unsent: false,
				connectionEnded: false,
				reason: `ended at event ${lastEventId} of ${response.lastEventId}`,
				defect: 'malformed',
			});
			return;
		}

		options.onFinished(admitted, response.eventCount);
		copies.releaseCopies(current);
		completion.endStream(head.status);
	};

	return {onEvents, onEnd};
}
