import type {EngineStreamListener} from '../../common/index.js';

/** Generation that a fake engine holds. */
export type FakeGeneration = {
	readonly id: string;
	readonly outputTokens: number;
	readonly maxTokens: number;
	producedTokens: number;
	linkCount: number;
	readonly connections: Set<FakeEngineConnection>;
};

/** Link over which a generation of a fake engine is read. */
export type FakeEngineConnection = {
	readonly listener: EngineStreamListener;
	/** Position of the next token to send. */
	nextPosition: number;
	isPaused: boolean;
	isSilent: boolean;
	/** Number of the link as the reader knows it. */
	linkCount: number | undefined;
};

/** Creates a link that no generation knows yet. */
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
