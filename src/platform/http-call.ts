import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {request} from '../adapters/http-client/index.js';
import {ProblemError} from '../common/index.js';

/** A call with a JSON body, or none. */
export type HttpCall = {
	/** `http://address:port`, unless the dispatcher is of one address. */
	readonly origin?: string;
	readonly method: 'DELETE' | 'GET' | 'POST';
	readonly path: string;
	readonly body?: string;
	readonly timeoutMs: number;
	/** Size of the body from which on it is not read, in bytes. */
	readonly maxResponseBytes: number;
};

/** What was answered. */
export type HttpCallResponse = {readonly status: number; readonly text: string};

/**
 * Makes a call and reads its whole answer.
 * @throws if no answer comes in time; ProblemError `too-large`
 */
export async function makeHttpCall(
	dispatcher: Dispatcher,
	{origin, method, path, body, timeoutMs, maxResponseBytes}: HttpCall,
): Promise<HttpCallResponse> {
	const answer = await request(dispatcher, {
		origin,
		path,
		method,
		body,
		headers: body === undefined ? {} : {'content-type': 'application/json'},
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
		signal: AbortSignal.timeout(timeoutMs),
		// A late second answer on a connection that was used before would be taken for this one.
		reset: true,
	});
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxResponseBytes) {
			// Leaving the loop closes the connection.
			throw new ProblemError(
				'too-large',
				`the answer is larger than ${maxResponseBytes} bytes`,
			);
		}

		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks, size).toString('utf8');
	return {status: answer.statusCode, text};
}
