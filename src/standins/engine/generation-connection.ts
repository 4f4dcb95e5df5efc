import type {ServerResponse} from 'node:http';
import type {FinishReason} from '../../common/index.js';
import {tokenText} from './token-text.js';

// Length of the text after which the link's buffer is asked whether it is full.
const maxWriteLength = 16_384;

/** One generation of the stand-in. */
export type Generation = {
	readonly id: string;
	readonly outputTokens: number;
	readonly finishReason: FinishReason;
	producedTokens: number;
	finishedAtMs: number | undefined;
	openedConnectionCount: number;
	readonly connections: Set<GenerationConnection>;
};

/** One reader of a generation. */
export type GenerationConnection = {
	readonly response: ServerResponse;
	nextPosition: number;
	isBlocked: boolean;
};

/** Writes the tokens that a link has not delivered yet, and the end once all are written. */
export function writePendingTokens(
	generation: Generation,
	link: GenerationConnection,
): void {
	let text = '';
	while (link.nextPosition < generation.producedTokens && !link.isBlocked) {
		const position = link.nextPosition++;
		const choice = {text: tokenText(generation.id, position), index: 0};
		text += `id: ${position}\ndata: ${JSON.stringify({id: generation.id, choices: [choice]})}\n\n`;
		if (text.length > maxWriteLength) {
			link.isBlocked = !link.response.write(text);
			text = '';
		}
	}

	if (
		generation.finishedAtMs !== undefined &&
		link.nextPosition >= generation.outputTokens
	) {
		const choice = {
			text: '',
			index: 0,
			finish_reason: generation.finishReason,
		};
		const usage = {completion_tokens: generation.outputTokens};
		text += `data: ${JSON.stringify({id: generation.id, choices: [choice], usage})}\n\ndata: [DONE]\n\n`;
		link.response.end(text);
		generation.connections.delete(link);
		return;
	}

	if (text !== '') {
		link.isBlocked = !link.response.write(text);
	}
}
