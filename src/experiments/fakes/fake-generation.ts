import type {EngineStreamListener} from '../../common/index.js';

/** Generation that a fake engine holds. */
export type FakeGeneration = {
	readonly id: string;
	readonly outputTokens: number;
	readonly maxTokens: number;
	produced: number;
	linkCount: number;
	readonly links: Set<FakeLink>;
};

/** Link over which a generation of a fake engine is read. */
export type FakeLink = {
	readonly listener: EngineStreamListener;
	/** Position of the next token to send. */
	next: number;
	isPaused: boolean;
	isSilent: boolean;
	/** Number of the link as the reader knows it. */
	linkCount: number | undefined;
};

/** Creates a link that no generation knows yet. */
export function createFakeLink(
	listener: EngineStreamListener,
	next: number,
): FakeLink {
	return {
		listener,
		next,
		isPaused: false,
		isSilent: false,
		linkCount: undefined,
	};
}
