import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../decisions/streams/index.js';
import {createChunkedWriter} from './chunked-writer.js';
import {problemBody, sendProblem} from './problem-response.js';
import type {TurnFlusher} from './turn-flusher.js';

/** Options of a sink that writes server-sent events. */
export type EventStreamSinkOptions = {
	readonly response: ServerResponse;
	readonly model: string;
	/** Signs the stream token of a place. */
	readonly signStreamToken: (place: GenerationPlacement) => string;
	/** Number of tokens that the caller has when the stream opens. */
	readonly receivedCount: number;
	readonly flusher: TurnFlusher;
};

const tokenEnd = '}]}\n\n';
const maxPendingCharacters = 65_536;

/**
 * Creates a sink that passes tokens on as server-sent events. The tokens that come in one
 * turn of the event loop leave in one write.
 */
export function createEventStreamSink(
	options: EventStreamSinkOptions,
): CallerSink {
	const {response} = options;
	const writer = createChunkedWriter(response);
	const tail = `","object":"text_completion","model":${JSON.stringify(options.model)},"choices":[{"index":0,"text":`;
	let prefix = '';
	let head = '';
	let fixedBytes = 0;
	let pendingBytes = 0;
	let pending = '';
	let isScheduled = false;

	const flush = () => {
		isScheduled = false;
		if (pending !== '') {
			// The caller may have left since the token came.
			if (!response.destroyed) {
				writer.write(pending, pendingBytes);
			}

			pending = '';
			pendingBytes = 0;
		}
	};

	const begin = (
		place: GenerationPlacement,
		event: string,
		position: number,
	) => {
		const token = options.signStreamToken(place);
		prefix = `id: ${token}.`;
		head = `\ndata: {"id":"${place.generationId}${tail}`;
		fixedBytes = Buffer.byteLength(prefix + head + tokenEnd);
		flush();
		writer.write(`${prefix}${position}\nevent: ${event}\ndata: {}\n\n`);
	};

	return {
		resumable: true,
		accepted(place) {
			if (!response.headersSent) {
				writer.writeHead(200, {
					'content-type': 'text/event-stream',
					'cache-control': 'no-store',
				});
			}

			begin(place, 'accepted', options.receivedCount);
		},
		token(position, text) {
			const digits = String(position);
			const quoted = JSON.stringify(text);
			pending += prefix + digits + head + quoted + tokenEnd;
			// The length of the joined string would have to be read from a copy of it.
			pendingBytes += fixedBytes + digits.length + Buffer.byteLength(quoted);
			if (pending.length >= maxPendingCharacters) {
				flush();
			} else if (!isScheduled) {
				isScheduled = true;
				options.flusher.schedule(flush);
			}

			return !response.writableNeedDrain;
		},
		restarted(place) {
			begin(place, 'restart', 0);
		},
		keepAlive() {
			if (response.headersSent) {
				writer.write(': keep-alive\n\n');
			}
		},
		finished(reason, tokenCount) {
			flush();
			writer.end(
				`${prefix}${tokenCount}${head}"","finish_reason":"${reason}"}],` +
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
