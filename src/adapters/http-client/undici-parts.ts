import type * as undici from 'undici';
import agent from 'undici/lib/dispatcher/agent.js';
import client from 'undici/lib/dispatcher/client.js';
import pool from 'undici/lib/dispatcher/pool.js';
import connector from 'undici/lib/core/connect.js';
import sendRequest from 'undici/lib/api/api-request.js';

// The front daemon imports undici's internal modules through this file: undici's index also loads fetch, WebSocket
// and caches, which would delay the restart of a VM. The entry daemon imports the index.
export const Agent = agent as typeof undici.Agent;
export const Client = client as typeof undici.Client;
export const Pool = pool as typeof undici.Pool;
export const buildConnector = connector as typeof undici.buildConnector;

/**
 * Sends a request through a dispatcher.
 * @returns status and headers of the response, and its body as a stream
 */
export async function request(
	dispatcher: undici.Dispatcher,
	options: undici.Dispatcher.RequestOptions,
): Promise<undici.Dispatcher.ResponseData> {
	const send = sendRequest as (
		this: undici.Dispatcher,
		options: undici.Dispatcher.RequestOptions,
	) => Promise<undici.Dispatcher.ResponseData>;
	return send.call(dispatcher, options);
}
