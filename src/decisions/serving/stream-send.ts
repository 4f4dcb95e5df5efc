import {
	createByteAccumulator,
	type ResponseDefect,
	type ResponseHead,
	type CallerRequest,
	type Clock,
	type SendFailure,
	type SendHandle,
	type SendOptions,
	type TargetEntry,
	type TargetClient,
} from '../../common/index.js';
import {createEventDecoder, type StreamEvent} from './event-decoder.js';
import {createEventSplitter} from './event-splitter.js';
import {
	type BufferBudget,
	type BufferUsage,
	defectOf,
} from './buffer-budget.js';
import type {ResponseLimits, SessionServices} from './session-types.js';

/** Receives the events of one send of a stream. */
export type StreamSendListener = {
	/** @param events - events that are complete now, at least one, with successive ids */
	onEvents(events: readonly StreamEvent[], head: ResponseHead): void;
	/**
	 * The stream ended after a complete event.
	 * @param lastEventId - id of that event
	 */
	onEnd(head: ResponseHead, lastEventId: number): void;
	/** The response is not an unencoded 200 with the stamp of a target. */
	onOtherResponse(head: ResponseHead, body: Uint8Array): void;
	/**
	 * The send failed, the response was cut off or too large, or it belongs to another request.
	 * @param status - status of the incomplete response; undefined if none has arrived
	 */
	onFailure(failure: SendFailure, status: number | undefined): void;
};

/** A request for a stream and the target that receives it. */
export type StreamSendRequest = {
	readonly target: TargetEntry;
	readonly request: CallerRequest;
	readonly sendOptions: Omit<SendOptions, 'maxAnswerBytes'>;
};

/** Dependencies of `sendStream`. */
export type StreamSendOptions = {
	readonly targetClient: TargetClient;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
	readonly clock: Clock;
	readonly onResponseHead: SessionServices['onResponseHead'];
};

const okStatus = 200;

const isUsableStreamHead = (head: ResponseHead) =>
	head.status === okStatus && head.isFromTarget && !head.hasContentEncoding;

/**
 * Sends a request for a stream once and splits the response into complete events. The listener is not
 * called any more after the first of `onEnd`, `onOtherResponse` and `onFailure`, or once disposed.
 */
export function sendStream(
	options: StreamSendOptions,
	{target, request, sendOptions}: StreamSendRequest,
	listener: StreamSendListener,
): SendHandle {
	const {targetClient, responseLimits, bufferBudget} = options;
	const sentMs = options.clock.nowMs();
	const splitter = createEventSplitter();
	const decoder = createEventDecoder(targetClient.extraEventFields);
	const body = createByteAccumulator();
	let head: ResponseHead | undefined;
	let isOver = false;

	const eventBufferUsage = bufferBudget.track(Infinity);
	const bodyBufferUsage = bufferBudget.track(Infinity);
	const finish = () => {
		isOver = true;
		eventBufferUsage.dispose();
		bodyBufferUsage.dispose();
	};

	const fail = (failure: SendFailure) => {
		finish();
		listener.onFailure(failure, head?.status);
	};

	/** Cancels the send because of what the response holds. */
	const breakOff = (reason: string, defect: ResponseDefect) => {
		handle.dispose();
		fail({unsent: false, connectionEnded: false, reason, defect});
	};

	/**
	 * Fails the send if the response belongs to another request.
	 * @returns true if it does
	 */
	const failIfForeign = (responseHead: ResponseHead) => {
		const isForeign = responseHead.requestId !== request.id;
		if (isForeign) {
			targetClient.closeConnections(target.address);
			fail({
				unsent: false,
				connectionEnded: false,
				reason: 'answer of another request',
				defect: 'foreign',
			});
		}

		return isForeign;
	};

	/** Records the buffered bytes and their memory, and cancels the send if they exceed the limits. */
	const chargeBuffer = (
		usage: BufferUsage,
		{bytes, memoryBytes}: {bytes: number; memoryBytes: number},
		maxBytes: number,
	) => {
		const limitReason = bytes > maxBytes ? 'too large' : usage.set(memoryBytes);
		if (limitReason) {
			breakOff(
				`${bytes} bytes buffered: ${limitReason}`,
				defectOf(limitReason),
			);
		}
	};

	/** Decodes events up to the first that is malformed. */
	const decodeAll = (parts: readonly Uint8Array[]) => {
		const events: StreamEvent[] = [];
		for (const part of parts) {
			const {event, problem} = decoder.decode(part);
			if (!event) {
				return {events, problem};
			}

			events.push(event);
		}

		return {events, problem: undefined};
	};

	const handleData = (responseHead: ResponseHead, chunk: Uint8Array) => {
		if (!isUsableStreamHead(responseHead)) {
			body.append(chunk);
			chargeBuffer(
				bodyBufferUsage,
				{bytes: body.lengthBytes, memoryBytes: body.capacityBytes},
				responseLimits.maxResponseBytes,
			);
			return;
		}

		const {events, problem} = decodeAll(splitter.push(chunk));
		if (events.length > 0) {
			listener.onEvents(events, responseHead);
		}

		if (isOver) {
			return;
		}

		if (problem === undefined) {
			chargeBuffer(
				eventBufferUsage,
				{bytes: splitter.pendingBytes, memoryBytes: splitter.memoryBytes},
				responseLimits.maxEventBytes,
			);
		} else {
			breakOff(problem, 'malformed');
		}
	};

	const handleEnd = (responseHead: ResponseHead) => {
		if (!isUsableStreamHead(responseHead)) {
			finish();
			listener.onOtherResponse(responseHead, body.take());
		} else if (splitter.pendingBytes > 0 || decoder.lastId === undefined) {
			fail({
				unsent: false,
				connectionEnded: true,
				reason: 'ended inside an event',
			});
		} else {
			finish();
			listener.onEnd(responseHead, decoder.lastId);
		}
	};

	const sendOptionsWithLimit = {
		...sendOptions,
		maxAnswerBytes: responseLimits.maxStreamBytes,
	};
	const handle = targetClient.send(
		target.address,
		request,
		sendOptionsWithLimit,
		{
			onHead(responseHead) {
				head = responseHead;
				if (responseHead.requestId === request.id) {
					options.onResponseHead(target, responseHead, sentMs);
				}
			},
			onData(chunk) {
				if (!isOver && head && !failIfForeign(head)) {
					handleData(head, chunk);
				}
			},
			onEnd() {
				if (!isOver && head && !failIfForeign(head)) {
					handleEnd(head);
				}
			},
			onFailure(failure) {
				if (!isOver) {
					fail(failure);
				}
			},
		},
	);
	return {
		pause() {
			handle.pause();
		},
		resume() {
			handle.resume();
		},
		dispose() {
			finish();
			handle.dispose();
		},
	};
}
