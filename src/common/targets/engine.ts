import type {ProblemError} from '../errors/index.js';
import type {
	CacheEvent,
	EngineRequest,
	FinishReason,
	LoadReport,
	TargetDescription,
	TargetOrder,
} from './types.js';

/** Receives the tokens of one generation as its link delivers them: possibly twice, late or out of order. */
export type EngineStreamListener = {
	/**
	 * @param position - position of the token, starting at 0
	 * @param text - text of the token
	 */
	onToken(position: number, text: string): void;
	/** @param tokenCount - length of the whole answer in tokens */
	onFinish(reason: FinishReason, tokenCount: number): void;
	/**
	 * The link ended without the answer's end. `generation-lost` and `stream-unknown` mean that the
	 * engine no longer has the generation; `target-unavailable` that the link may be opened again.
	 */
	onFailure(error: ProblemError): void;
};

/** A link over which an engine delivers one generation. */
export type EngineStream = {
	/**
	 * Links that had been opened to the generation when this one was, this one included;
	 * undefined until the engine has answered.
	 */
	readonly connectionCount?: number;
	/** Stops reading from the engine until `resume`. */
	pause(): void;
	resume(): void;
	/** Closes the link without cancelling the generation. */
	close(): void;
};

/** A model engine. */
export abstract class Engine {
	abstract readonly description: TargetDescription;

	/** Starts a generation. */
	abstract start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream;

	/**
	 * Opens a link to a generation that was started before.
	 * @param fromPosition - first position wanted
	 */
	abstract reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream;

	/**
	 * Cancels a generation unless another link was opened since.
	 * @param linkCount - links that the canceller knows of; undefined cancels in any case
	 */
	abstract cancel(generationId: string, linkCount?: number): Promise<void>;

	abstract loadReport(): Promise<LoadReport>;

	/** Prefix-cache events after a sequence number; late and with gaps. */
	abstract cacheEvents(afterSequence: number): Promise<readonly CacheEvent[]>;

	/** Gives an order. Rejects with `order-rejected` if the fencing number is old and checked. */
	abstract order(order: TargetOrder): Promise<void>;
}
