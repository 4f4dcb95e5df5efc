import type {ProblemError} from '../errors/index.js';
import type {
	CacheEvent,
	EngineRequest,
	FinishReason,
	LoadReport,
	TargetDescription,
	TargetOrder,
} from './types.js';

/** Receives the tokens of one generation. They may arrive late, more than once or out of order. */
export type EngineStreamListener = {
	/**
	 * @param position - index of the token in the output, starting at 0
	 * @param text - text of the token
	 */
	onToken(position: number, text: string): void;
	/** @param tokenCount - length of the complete output in tokens */
	onFinish(reason: FinishReason, tokenCount: number): void;
	/**
	 * The connection ended before the output was complete. `generation-lost` and `stream-unknown` mean
	 * that the engine no longer has the generation; `target-unavailable` means that the generation
	 * may be reopened.
	 */
	onFailure(error: ProblemError): void;
};

/** A connection over which an engine delivers one generation. A generation may have several. */
export type EngineStream = {
	/**
	 * Number of connections opened to the generation so far, this one included, when it was opened;
	 * undefined until the engine has responded.
	 */
	readonly connectionCount?: number;
	/** Stops reading from the engine until `resume` is called. */
	pause(): void;
	resume(): void;
	/** Closes the connection without cancelling the generation. */
	close(): void;
};

/** Client of a model engine. */
export abstract class Engine {
	abstract readonly description: TargetDescription;

	/** Starts a generation. */
	abstract start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream;

	/**
	 * Opens a further connection to a generation that was started before.
	 * @param fromPosition - position of the first token to deliver
	 */
	abstract reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream;

	/**
	 * Cancels a generation, unless another connection to it has been opened in the meantime.
	 * @param linkCount - number of connections that the caller knows of; undefined cancels unconditionally
	 */
	abstract cancel(generationId: string, linkCount?: number): Promise<void>;

	abstract loadReport(): Promise<LoadReport>;

	/** Returns the prefix-cache events after a sequence number. Events may be delayed or missing. */
	abstract cacheEvents(afterSequence: number): Promise<readonly CacheEvent[]>;

	/**
	 * Sends an order. Rejects with `order-rejected` if the target checks fencing numbers and has seen a
	 * newer one.
	 */
	abstract order(order: TargetOrder): Promise<void>;
}
