import type {Dispatcher} from 'undici';
import {request} from '../adapters/http-client/index.js';

/** A call with a JSON body, or none. */
export type HttpCall = {
	/** `http://address:port`, unless the dispatcher is of one address. */
	readonly origin?: string;
	readonly method: 'DELETE' | 'GET' | 'POST';
	readonly path: string;
	readonly body?: string;
	readonly timeoutMs: number;
};

/** What was answered. */
export type HttpCallAnswer = {readonly status: number; readonly text: string};

/**
 * Makes a call and reads its whole answer.
 * @throws if no answer comes in time
 */
export async function makeHttpCall(
	dispatcher: Dispatcher,
	{origin, method, path, body, timeoutMs}: HttpCall,
): Promise<HttpCallAnswer> {
	const answer = await request(dispatcher, {
		origin,
		path,
		method,
		body,
		headers: body === undefined ? {} : {'content-type': 'application/json'},
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
		signal: AbortSignal.timeout(timeoutMs),
	});
	return {status: answer.statusCode, text: await answer.body.text()};
}
