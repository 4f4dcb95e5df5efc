import {
	type Delivery,
	type FinishReason,
	type InvariantMonitor,
	ProblemError,
} from '../../common/index.js';
import {createTokenBuffer, type ByteBudget} from './token-buffer.js';
import {createDeliveryGuard} from './delivery-guard.js';
import type {RelayLimits} from './relay-limits.js';
import type {CallerSink, GenerationPlacement} from './types.js';

/**
 * Passes a response to its caller according to its delivery mode. Methods throw `promise-violated` if
 * they would break an invariant.
 */
export type ResponseDelivery = {
	/** Number of tokens of the current generation that were written to the caller. */
	readonly deliveredCount: number;
	/** True while the caller applies backpressure. */
	readonly isBlocked: boolean;
	/** True once a held-back response has been read to its end. */
	readonly isFullyRead: boolean;
	/**
	 * Starts the delivery of a generation.
	 * @param receivedCount - number of tokens of it that the caller already has
	 */
	begin(placement: GenerationPlacement, receivedCount: number): void;
	/**
	 * Delivers or buffers a token.
	 * @param placement - generation that produced the token
	 * @param position - position of the token, from 0
	 */
	token(placement: GenerationPlacement, position: number, text: string): void;
	/**
	 * The generation was read to its end.
	 * @throws ProblemError `target-protocol` if an earlier read ended at a different length
	 */
	finish(reason: FinishReason, tokenCount: number): void;
	/** The caller accepts tokens again after backpressure. */
	drained(): void;
	/** Releases the buffer and passes the counts of checks to the invariant monitor. */
	close(): void;
};

export type ResponseDeliveryOptions = {
	readonly delivery: Delivery;
	readonly sink: CallerSink;
	readonly invariants: InvariantMonitor;
	readonly limits: RelayLimits;
	readonly bufferBudget: ByteBudget;
	/** Called for every token that is written to the caller. */
	readonly onTokenDelivered: () => void;
	/** The caller applies backpressure; reading has to pause until `onUnblocked`. */
	readonly onBlocked: () => void;
	readonly onUnblocked: () => void;
	/** Tokens from a position on did not fit into the buffer and have to be read again. */
	readonly onReread: (position: number) => void;
	/** All tokens were written to the caller; only the end of the response is missing. */
	readonly onDelivered: (reason: FinishReason, tokenCount: number) => void;
};

/** State of the current generation. */
type Phase =
	/** Tokens are written to the caller as they arrive. */
	| 'streaming'
	/** Tokens are held back until the response is complete. */
	| 'buffering'
	/** The response is complete and the buffered tokens are being written. */
	| 'flushing'
	/** Tokens that did not fit into the buffer are read from the engine again and written. */
	| 'rereading';

/** Creates the delivery of one response; call `begin` before any token. */
export function createResponseDelivery(
	options: ResponseDeliveryOptions,
): ResponseDelivery {
	const {sink} = options;
	const guard = createDeliveryGuard(options.invariants);
	const buffer = createTokenBuffer(
		options.limits.maxStreamBufferBytes,
		options.bufferBudget,
	);
	let phase: Phase = 'streaming';
	let placement: GenerationPlacement | undefined;
	let completion:
		{readonly reason: FinishReason; readonly tokenCount: number} | undefined;
	let isBlocked = false;

	/** @returns false if the caller applies backpressure now */
	const deliverToken = (
		source: GenerationPlacement,
		position: number,
		text: string,
	): boolean => {
		guard.token(source, position);
		options.onTokenDelivered();
		if (!sink.token(position + 1, text)) {
			isBlocked = true;
			options.onBlocked();
		}

		return !isBlocked;
	};

	const complete = (reason: FinishReason, tokenCount: number) => {
		guard.finished(placement!, tokenCount);
		options.onDelivered(reason, tokenCount);
	};

	const flushBuffer = () => {
		let isAccepting = true;
		while (isAccepting && !buffer.isEmpty) {
			isAccepting = deliverToken(
				placement!,
				guard.deliveredCount,
				buffer.take(),
			);
		}

		if (!isAccepting) {
			return;
		}

		const {reason, tokenCount} = completion!;
		if (guard.deliveredCount < tokenCount) {
			phase = 'rereading';
			options.onReread(guard.deliveredCount);
		} else {
			complete(reason, tokenCount);
		}
	};

	return {
		get deliveredCount() {
			return guard.deliveredCount;
		},
		get isBlocked() {
			return isBlocked;
		},
		get isFullyRead() {
			return completion !== undefined;
		},
		begin(source, receivedCount) {
			placement = source;
			completion = undefined;
			buffer.clear();
			phase = options.delivery === 'whole' ? 'buffering' : 'streaming';
			guard.begin(source, receivedCount);
		},
		token(source, position, text) {
			if (phase === 'buffering') {
				buffer.add(text);
			} else {
				deliverToken(source, position, text);
			}
		},
		finish(reason, tokenCount) {
			if (completion && completion.tokenCount !== tokenCount) {
				throw new ProblemError(
					'target-protocol',
					'engine reported two different lengths for one generation',
				);
			}

			if (phase === 'buffering') {
				phase = 'flushing';
				completion = {reason, tokenCount};
				flushBuffer();
			} else {
				complete(reason, tokenCount);
			}
		},
		drained() {
			if (!isBlocked) {
				return;
			}

			isBlocked = false;
			if (phase === 'flushing') {
				flushBuffer();
			} else {
				options.onUnblocked();
			}
		},
		close() {
			buffer.clear();
			guard.close();
		},
	};
}
