import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../decisions/streams/index.js';
import {createChunkedWriter} from './chunked-writer.js';
import {problemBody, sendProblem} from './problem-response.js';
import type {TurnFlusher} from './turn-flusher.js';

export type EventStreamSinkOptions = {
	readonly response: ServerResponse;
	readonly model: string;
	/** Creates the stream token of a placement; event ids consist of it and the position. */
	readonly signStreamToken: (placement: GenerationPlacement) => string;
	/** Number of output tokens that the caller received before this stream; 0 unless it resumes. */
	readonly receivedCount: number;
	readonly flusher: TurnFlusher;
};

const eventSuffix = '}]}\n\n';
/** Events are written at once when this many characters are pending. */
const maxPendingCharacters = 65_536;

/**
 * Creates a sink that sends each token as a server-sent event. Tokens that are received in one turn of
 * the event loop are sent in one write.
 */
export function createEventStreamSink(
	options: EventStreamSinkOptions,
): CallerSink {
	const {response} = options;
	const writer = createChunkedWriter(response);
	const dataAfterId = `","object":"text_completion","model":${JSON.stringify(options.model)},"choices":[{"index":0,"text":`;
	// The constant parts of a token event of the current generation: before the position, and from there to the token.
	let eventPrefix = '';
	let dataPrefix = '';
	/** UTF-8 length of the constant parts, in bytes. */
	let fixedBytes = 0;
	let pendingBytes = 0;
	let pending = '';
	let isScheduled = false;

	const flush = () => {
		isScheduled = false;
		if (pending !== '') {
			// The caller may have disconnected after the tokens were received.
			if (!response.destroyed) {
				writer.write(pending, pendingBytes);
			}

			pending = '';
			pendingBytes = 0;
		}
	};

	const beginGeneration = (
		placement: GenerationPlacement,
		event: string,
		receivedCount: number,
	) => {
		const streamToken = options.signStreamToken(placement);
		eventPrefix = `id: ${streamToken}.`;
		dataPrefix = `\ndata: {"id":"${placement.generationId}${dataAfterId}`;
		fixedBytes = Buffer.byteLength(eventPrefix + dataPrefix + eventSuffix);
		flush();
		writer.write(
			`${eventPrefix}${receivedCount}\nevent: ${event}\ndata: {}\n\n`,
		);
	};

	return {
		resumable: true,
		accepted(placement) {
			if (!response.headersSent) {
				writer.writeHead(200, {
					'content-type': 'text/event-stream',
					'cache-control': 'no-store',
				});
			}

			beginGeneration(placement, 'accepted', options.receivedCount);
		},
		token(receivedCount, text) {
			// Event ids contain the number of tokens received with the event, not the index of the token.
			const digits = String(receivedCount);
			const quoted = JSON.stringify(text);
			pending += eventPrefix + digits + dataPrefix + quoted + eventSuffix;
			// Counted piece by piece, since the length of the concatenated string takes a flattened copy of it.
			pendingBytes += fixedBytes + digits.length + Buffer.byteLength(quoted);
			if (pending.length >= maxPendingCharacters) {
				flush();
			} else if (!isScheduled) {
				isScheduled = true;
				options.flusher.schedule(flush);
			}

			return !response.writableNeedDrain;
		},
		restarted(placement) {
			beginGeneration(placement, 'restart', 0);
		},
		keepAlive() {
			if (response.headersSent) {
				writer.write(': keep-alive\n\n');
			}
		},
		finished(reason, tokenCount) {
			flush();
			writer.end(
				`${eventPrefix}${tokenCount}${dataPrefix}"","finish_reason":"${reason}"}],` +
					`"usage":{"completion_tokens":${tokenCount}}}\n\ndata: [DONE]\n\n`,
			);
		},
		failed(error) {
			flush();
			if (response.headersSent) {
				writer.end(
					`event: error\ndata: ${JSON.stringify(problemBody(error))}\n\n`,
				);
			} else {
				sendProblem(response, error);
			}
		},
	};
}
