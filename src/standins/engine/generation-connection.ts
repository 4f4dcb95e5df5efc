import type {ServerResponse} from 'node:http';
import type {FinishReason} from '../../common/index.js';
import {tokenText} from './token-text.js';

// Events are written, and backpressure is checked, when their text exceeds this number of characters.
const maxWriteLength = 16_384;

/** A generation of the stand-in engine. */
export type Generation = {
	readonly id: string;
	readonly outputTokens: number;
	readonly finishReason: FinishReason;
	producedTokens: number;
	/** Monotonic time in milliseconds. */
	finishedAtMs: number | undefined;
	/** Connections opened so far, including closed ones; sent as the entity tag. */
	openedConnectionCount: number;
	/** Open connections. */
	readonly connections: Set<GenerationConnection>;
};

/** A connection over which a generation is streamed. */
export type GenerationConnection = {
	readonly response: ServerResponse;
	nextPosition: number;
	/** True from a write that filled the buffer until the response drains. */
	isBlocked: boolean;
};

/**
 * Writes the produced tokens that were not written to the connection yet, and ends the stream after the
 * last token of a finished generation.
 */
export function writePendingTokens(
	generation: Generation,
	connection: GenerationConnection,
): void {
	let text = '';
	while (
		connection.nextPosition < generation.producedTokens &&
		!connection.isBlocked
	) {
		const position = connection.nextPosition++;
		const choice = {text: tokenText(generation.id, position), index: 0};
		text += `id: ${position}\ndata: ${JSON.stringify({id: generation.id, choices: [choice]})}\n\n`;
		if (text.length > maxWriteLength) {
			connection.isBlocked = !connection.response.write(text);
			text = '';
		}
	}

	if (
		generation.finishedAtMs !== undefined &&
		connection.nextPosition >= generation.outputTokens
	) {
		const choice = {
			text: '',
			index: 0,
			finish_reason: generation.finishReason,
		};
		const usage = {completion_tokens: generation.outputTokens};
		text += `data: ${JSON.stringify({id: generation.id, choices: [choice], usage})}\n\ndata: [DONE]\n\n`;
		connection.response.end(text);
		generation.connections.delete(connection);
		return;
	}

	if (text !== '') {
		connection.isBlocked = !connection.response.write(text);
	}
}
