import type {
	AnswerHead,
	CallerRequest,
	Disposable,
	SendFailure,
	SendOrders,
	TargetEntry,
	TargetLink,
} from '../../common/index.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import type {HeldBytes, Holding} from './held-bytes.js';
import {joined} from './joined-bytes.js';
import type {AnswerBounds} from './session-types.js';

/** Receives what becomes of one send of a stream. */
export type StreamSendListener = {
	onEvent(event: StreamEvent, head: AnswerHead): void;
	/** The stream ended after a whole event. */
	onWhole(head: AnswerHead): void;
	/** The target answered, but not with a stream. */
	onOtherAnswer(head: AnswerHead, body: Uint8Array): void;
	/** The answer broke off or is not one to this request. */
	onFailure(failure: SendFailure): void;
};

/** What is sent, and where to. */
export type StreamSend = {
	readonly target: TargetEntry;
	readonly request: CallerRequest;
	readonly orders: Omit<SendOrders, 'maxAnswerBytes'>;
};

/** What a stream is received with. */
export type StreamSendOptions = {
	readonly link: TargetLink;
	readonly answerBounds: AnswerBounds;
	readonly held: HeldBytes;
};

const okStatus = 200;

const isEventStream = (head: AnswerHead) =>
	head.status === okStatus && head.stamped && !head.encoded;

/**
 * Sends a request for a stream once and cuts the answer into whole events. Nothing is reported after
 * the first of `onWhole`, `onOtherAnswer` and `onFailure`, or once disposed.
 */
export function sendStream(
	{link, answerBounds, held}: StreamSendOptions,
	{target, request, orders}: StreamSend,
	listener: StreamSendListener,
): Disposable {
	const splitter = createEventSplitter();
	const otherChunks: Uint8Array[] = [];
	let head: AnswerHead | undefined;
	let hasEvents = false;
	let isOver = false;

	const eventHolding = held.open(answerBounds.maxEventBytes);
	const otherHolding = held.open(answerBounds.maxAnswerBytes);
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
	const failIfForeign = (answer: AnswerHead) => {
		const isForeign = answer.requestId !== request.id;
		if (isForeign) {
			link.renew(target.address);
			fail({unsent: false, reason: 'answer of another request'});
		}

		return isForeign;
	};

	/** Breaks the send off if it holds more than it may. */
	const hold = (holding: Holding, bytes: number) => {
		const problem = holding.set(bytes);
		if (problem) {
			handle.dispose();
			fail({unsent: false, reason: `${bytes} bytes held: ${problem}`});
		}
	};

	const received = (answer: AnswerHead, chunk: Uint8Array) => {
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
			hold(eventHolding, splitter.restBytes);
		}
	};

	const ended = (answer: AnswerHead) => {
		if (!isEventStream(answer)) {
			finish();
			listener.onOtherAnswer(answer, joined(otherChunks));
		} else if (splitter.restBytes > 0 || !hasEvents) {
			fail({unsent: false, reason: 'ended inside an event'});
		} else {
			finish();
			listener.onWhole(answer);
		}
	};

	const sendOrders = {...orders, maxAnswerBytes: answerBounds.maxStreamBytes};
	const handle = link.send(target.address, request, sendOrders, {
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
