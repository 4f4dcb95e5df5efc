import type {EngineStreamListener} from '../../common/index.js';

/** Generation in progress, or retained after its end, at a fake engine. */
export type FakeGeneration = {
	readonly id: string;
	/** Length of the complete output. */
	readonly outputTokens: number;
	/** Requested limit of the output; a generation that reaches it finishes with `length`. */
	readonly maxTokens: number;
	/** Output produced so far. */
	producedTokens: number;
	/** Number of connections opened so far, closed ones included. */
	linkCount: number;
	/** Open connections. */
	readonly connections: Set<FakeEngineConnection>;
};

/** Connection over which a fake engine delivers a generation. */
export type FakeEngineConnection = {
	readonly listener: EngineStreamListener;
	/** Position of the next token to send, starting at 0. */
	nextPosition: number;
	/** True while the reader has paused the stream. */
	isPaused: boolean;
	/** True once the connection stalled or was closed: nothing more is sent. */
	isSilent: boolean;
	/**
	 * `linkCount` of the generation when this connection was opened; undefined until the engine's
	 * response arrived.
	 */
	linkCount: number | undefined;
};

/**
 * Creates a connection that is not attached to a generation.
 * @param nextPosition - position of the first token to deliver
 */
export function createFakeEngineConnection(
	listener: EngineStreamListener,
	nextPosition: number,
): FakeEngineConnection {
	return {
		listener,
		nextPosition,
		isPaused: false,
		isSilent: false,
		linkCount: undefined,
	};
}
