import type {
	ResponseHead,
	CallerRequest,
	Disposable,
	SendFailure,
	SendOptions,
	TargetEntry,
	TargetClient,
} from '../../common/index.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import type {BufferBudget, BufferUsage} from './buffer-budget.js';
import {concatBytes} from './concat-bytes.js';
import type {ResponseLimits} from './session-types.js';

/** Receives what becomes of one send of a stream. */
export type StreamSendListener = {
	onEvent(event: StreamEvent, head: ResponseHead): void;
	/** The stream ended after a whole event. */
	onEnd(head: ResponseHead): void;
	/** The target answered, but not with a stream. */
	onOtherResponse(head: ResponseHead, body: Uint8Array): void;
	/** The answer broke off or is not one to this request. */
	onFailure(failure: SendFailure): void;
};

/** What is sent, and where to. */
export type StreamSendRequest = {
	readonly target: TargetEntry;
	readonly request: CallerRequest;
	readonly orders: Omit<SendOptions, 'maxAnswerBytes'>;
};

/** What a stream is received with. */
export type StreamSendOptions = {
	readonly targetClient: TargetClient;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
};

const okStatus = 200;

const isEventStream = (head: ResponseHead) =>
	head.status === okStatus && head.isFromTarget && !head.hasContentEncoding;

/**
 * Sends a request for a stream once and cuts the answer into whole events. Nothing is reported after
 * the first of `onWhole`, `onOtherAnswer` and `onFailure`, or once disposed.
 */
export function sendStream(
	{targetClient, responseLimits, bufferBudget}: StreamSendOptions,
	{target, request, orders}: StreamSendRequest,
	listener: StreamSendListener,
): Disposable {
	const splitter = createEventSplitter();
	const otherChunks: Uint8Array[] = [];
	let head: ResponseHead | undefined;
	let hasEvents = false;
	let isOver = false;

	const eventHolding = bufferBudget.track(responseLimits.maxEventBytes);
	const otherHolding = bufferBudget.track(responseLimits.maxResponseBytes);
	const finish = () => {
		isOver = true;
		eventHolding.dispose();
		otherHolding.dispose();
	};

	const fail = (failure: SendFailure) => {
		finish();
		listener.onFailure(failure);
	};

	/** True, and the send has failed, if the answer belongs to another request. */
	const failIfForeign = (answer: ResponseHead) => {
		const isForeign = answer.requestId !== request.id;
		if (isForeign) {
			targetClient.closeConnections(target.address);
			fail({unsent: false, reason: 'answer of another request'});
		}

		return isForeign;
	};

	/** Breaks the send off if it holds more than it may. */
	const hold = (holding: BufferUsage, bytes: number) => {
		const problem = holding.set(bytes);
		if (problem) {
			handle.dispose();
			fail({unsent: false, reason: `${bytes} bytes held: ${problem}`});
		}
	};

	const received = (answer: ResponseHead, chunk: Uint8Array) => {
		if (!isEventStream(answer)) {
			otherChunks.push(chunk);
			hold(otherHolding, otherHolding.bytes + chunk.length);
			return;
		}

		for (const event of splitter.push(chunk)) {
			if (isOver) {
				return;
			}

			hasEvents = true;
			listener.onEvent(event, answer);
		}

		if (!isOver) {
			hold(eventHolding, splitter.pendingBytes);
		}
	};

	const ended = (answer: ResponseHead) => {
		if (!isEventStream(answer)) {
			finish();
			listener.onOtherResponse(answer, concatBytes(otherChunks));
		} else if (splitter.pendingBytes > 0 || !hasEvents) {
			fail({unsent: false, reason: 'ended inside an event'});
		} else {
			finish();
			listener.onEnd(answer);
		}
	};

	const sendOrders = {...orders, maxAnswerBytes: responseLimits.maxStreamBytes};
	const handle = targetClient.send(target.address, request, sendOrders, {
		onHead(answer) {
			head = answer;
		},
		onData(chunk) {
			if (!isOver && head && !failIfForeign(head)) {
				received(head, chunk);
			}
		},
		onEnd() {
			if (!isOver && head && !failIfForeign(head)) {
				ended(head);
			}
		},
		onFailure(failure) {
			if (!isOver) {
				fail(failure);
			}
		},
	});
	return {
		dispose() {
			finish();
			handle.dispose();
		},
	};
}
