import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../decisions/streams/index.js';
import {sendProblem} from './problem-response.js';

export type JsonSinkOptions = {
	readonly response: ServerResponse;
	readonly model: string;
};

/** Text is written at once when this many characters are pending. */
const maxPendingCharacters = 65_536;

/**
 * Creates a sink that sends the response as one JSON document. It is meant for the delivery `whole`,
 * which passes on tokens only once the generation has finished. A large document is written in pieces,
 * so that its memory stays bounded.
 */
export function createJsonSink(options: JsonSinkOptions): CallerSink {
	const {response, model} = options;
	let placement: GenerationPlacement | undefined;
	let pending = '';

	const head = () =>
		`{"id":${JSON.stringify(placement?.generationId)},"object":"text_completion",` +
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
		accepted(newPlacement) {
			placement = newPlacement;
		},
		token(_position, text) {
			pending += JSON.stringify(text).slice(1, -1);
			if (pending.length >= maxPendingCharacters) {
				writePending();
			}

			return !response.writableNeedDrain;
		},
		restarted(newPlacement) {
			placement = newPlacement;
			pending = '';
			if (response.headersSent) {
				response.destroy();
			}
		},
		keepAlive() {
			// JSON has no comments that could be sent while the caller waits.
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
