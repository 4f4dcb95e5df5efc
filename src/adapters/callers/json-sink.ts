import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	CallerSink,
	GenerationPlace,
} from '../../decisions/streams/index.js';
import {sendProblem} from './problem-response.js';

/** Options of a sink that answers with one JSON document. */
export type JsonSinkOptions = {
	readonly response: ServerResponse;
	readonly model: string;
};

/** Creates a sink that collects the answer and sends it whole. */
export function createJsonSink(options: JsonSinkOptions): CallerSink {
	const {response, model} = options;
	const texts: string[] = [];
	let current: GenerationPlace | undefined;
	return {
		accepted(place) {
			current = place;
		},
		token(_position, text) {
			texts.push(text);
			return true;
		},
		restarted(place) {
			current = place;
			texts.length = 0;
		},
		finished(reason, tokenCount) {
			const body = JSON.stringify({
				id: current?.generationId,
				object: 'text_completion',
				model,
				choices: [{index: 0, text: texts.join(''), finish_reason: reason}],
				usage: {completion_tokens: tokenCount},
			});
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
