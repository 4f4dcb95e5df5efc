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

/** Passes an answer to its caller as the delivery mode asks for. Steps throw if they would break a promise. */
export type ResponseDelivery = {
	/** Number of tokens that the caller has. */
	readonly deliveredCount: number;
	/** True while the caller is slow. */
	readonly isBlocked: boolean;
	/** True once the generation has been read to its end. */
	readonly isFullyRead: boolean;
	/**
	 * Tokens of a generation follow.
	 * @param position - number of tokens that the caller has of it
	 */
	begin(place: GenerationPlacement, position: number): void;
	/** @param place - where the token comes from */
	token(place: GenerationPlacement, position: number, text: string): void;
	/**
	 * The generation was read to its end.
	 * @throws ProblemError `target-protocol` if it had another length before
	 */
	finish(reason: FinishReason, tokenCount: number): void;
	/** The caller takes tokens again. */
	drained(): void;
	/** Gives back memory and hands counts of checks to the monitor. */
	close(): void;
};

/** What a delivery needs. */
export type ResponseDeliveryOptions = {
	readonly delivery: Delivery;
	readonly sink: CallerSink;
	readonly invariants: InvariantMonitor;
	readonly limits: RelayLimits;
	readonly bufferBudget: ByteBudget;
	/** Called with every token that is passed on. */
	readonly onTokenDelivered: () => void;
	/** The caller is slow; reading is to stop until `onUnblocked`. */
	readonly onBlocked: () => void;
	readonly onUnblocked: () => void;
	/** Tokens from a position on did not fit in memory and are to be read again. */
	readonly onReread: (position: number) => void;
	/** The caller has the whole answer but for its end. */
	readonly onDelivered: (reason: FinishReason, tokenCount: number) => void;
};

/** How far the current generation is. */
type Phase =
	/** Tokens are passed on as they come. */
	| 'streaming'
	/** Tokens are held back until the answer is complete. */
	| 'holding'
	/** The answer is complete and the held-back tokens are passed on. */
	| 'writing'
	/** Tokens that did not fit in memory are read from the engine again and passed on. */
	| 'rereading';

/** Creates the delivery of one answer; no generation has begun. */
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
	let place: GenerationPlacement | undefined;
	let ending:
		{readonly reason: FinishReason; readonly tokenCount: number} | undefined;
	let isBlocked = false;

	/** @returns false if the caller is slow now */
	const pass = (
		from: GenerationPlacement,
		position: number,
		text: string,
	): boolean => {
		guard.token(from, position);
		options.onTokenDelivered();
		if (!sink.token(position + 1, text)) {
			isBlocked = true;
			options.onBlocked();
		}

		return !isBlocked;
	};

	const complete = (reason: FinishReason, tokenCount: number) => {
		guard.finished(place!, tokenCount);
		options.onDelivered(reason, tokenCount);
	};

	const writeOut = () => {
		let isTaking = true;
		while (isTaking && !buffer.isEmpty) {
			isTaking = pass(place!, guard.deliveredCount, buffer.take());
		}

		if (!isTaking) {
			return;
		}

		const {reason, tokenCount} = ending!;
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
			return ending !== undefined;
		},
		begin(from, position) {
			place = from;
			ending = undefined;
			buffer.clear();
			phase = options.delivery === 'whole' ? 'holding' : 'streaming';
			guard.begin(from, position);
		},
		token(from, position, text) {
			if (phase === 'holding') {
				buffer.add(text);
			} else {
				pass(from, position, text);
			}
		},
		finish(reason, tokenCount) {
			if (ending && ending.tokenCount !== tokenCount) {
				throw new ProblemError(
					'target-protocol',
					'engine gave two lengths for one answer',
				);
			}

			if (phase === 'holding') {
				phase = 'writing';
				ending = {reason, tokenCount};
				writeOut();
			} else {
				complete(reason, tokenCount);
			}
		},
		drained() {
			if (!isBlocked) {
				return;
			}

			isBlocked = false;
			if (phase === 'writing') {
				writeOut();
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
