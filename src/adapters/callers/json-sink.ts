import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../decisions/streams/index.js';
import {sendProblem} from './problem-response.js';

/** Options of a sink that answers with one JSON document. */
export type JsonSinkOptions = {
	readonly response: ServerResponse;
	readonly model: string;
};

const maxPendingCharacters = 65_536;

/**
 * Creates a sink that sends the answer as one JSON document. It is meant for held-back answers:
 * large ones are written in pieces so that memory stays bounded.
 */
export function createJsonSink(options: JsonSinkOptions): CallerSink {
	const {response, model} = options;
	let current: GenerationPlacement | undefined;
	let pending = '';

	const head = () =>
		`{"id":${JSON.stringify(current?.generationId)},"object":"text_completion",` +
		`"model":${JSON.stringify(model)},"choices":[{"index":0,"text":"`;

	const writePending = () => {
		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'application/json'});
			pending = head() + pending;
		}

		response.write(pending);
		pending = '';
	};

	return {
		resumable: false,
		accepted(place) {
			current = place;
		},
		token(_position, text) {
			pending += JSON.stringify(text).slice(1, -1);
			if (pending.length >= maxPendingCharacters) {
				writePending();
			}

			return !response.writableNeedDrain;
		},
		restarted(place) {
			current = place;
			pending = '';
			if (response.headersSent) {
				response.destroy();
			}
		},
		keepAlive() {
			// A JSON document has no place for comments.
		},
		finished(reason, tokenCount) {
			const tail =
				`","finish_reason":"${reason}"}],` +
				`"usage":{"completion_tokens":${tokenCount}}}`;
			if (response.headersSent) {
				response.end(pending + tail);
				return;
			}

			const body = head() + pending + tail;
			response.writeHead(200, {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
			});
			response.end(body);
		},
		failed(error) {
			sendProblem(response, error);
		},
	};
}
