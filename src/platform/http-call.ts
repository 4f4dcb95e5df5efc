import type {Dispatcher} from 'undici';
import {request, requireReadableHead} from '../adapters/http-client/index.js';
import {createByteAccumulator, ProblemError} from '../common/index.js';
import {headerEntries} from './raw-headers.js';
import {decidingHeaders} from './wire-names.js';

/** An HTTP call with a JSON body or none. */
export type HttpCall = {
	/** `http://address:port`; not needed if the dispatcher is bound to one origin. */
	readonly origin?: string;
	readonly method: 'DELETE' | 'GET' | 'POST';
	readonly path: string;
	readonly body?: string;
	/** Time within which the complete response must have arrived, in milliseconds. */
	readonly timeoutMs: number;
	/** Largest size of the response body, in bytes. */
	readonly maxResponseBytes: number;
};

const utf8 = new TextDecoder('utf8', {ignoreBOM: true});

export type HttpCallResponse = {
	readonly status: number;
	/** By name in lower case. */
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
};

/**
 * Makes a call and reads the complete response.
 * @throws Error if the complete response does not arrive in time; ProblemError `too-large` if its body
 *   is larger than `maxResponseBytes`; UndefinedStatusError if HTTP does not define its status;
 *   AmbiguousHeadError if its head can be read in two ways
 */
export async function makeHttpCall(
	dispatcher: Dispatcher,
	{origin, method, path, body, timeoutMs, maxResponseBytes}: HttpCall,
): Promise<HttpCallResponse> {
	const response = await request(dispatcher, {
		origin,
		path,
		method,
		body,
		headers: body === undefined ? {} : {'content-type': 'application/json'},
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
		signal: AbortSignal.timeout(timeoutMs),
		// Closes the connection after the response, so that a late duplicate of it is not read as the
		// response to a later call.
		reset: true,
	});
	const received = createByteAccumulator();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		if (received.lengthBytes + chunk.length > maxResponseBytes) {
			// Leaving the loop destroys the body and thereby closes the connection.
			throw new ProblemError(
				'too-large',
				`the response is larger than ${maxResponseBytes} bytes`,
			);
		}

		received.append(chunk);
	}

	const {statusCode: status, statusText: reason, headers} = response;
	requireReadableHead(
		{status, reason, headers: headerEntries(headers)},
		decidingHeaders,
	);
	return {status, headers, text: utf8.decode(received.take())};
}
