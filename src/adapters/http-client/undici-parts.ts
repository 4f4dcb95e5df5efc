import type * as undici from 'undici';
import agent from 'undici/lib/dispatcher/agent.js';
import client from 'undici/lib/dispatcher/client.js';
import pool from 'undici/lib/dispatcher/pool.js';
import connector from 'undici/lib/core/connect.js';
import requestOf from 'undici/lib/api/api-request.js';

// The index of undici also loads fetch, WebSocket and caches. A VM that restarts would wait for them.
export const Agent = agent as typeof undici.Agent;
export const Client = client as typeof undici.Client;
export const Pool = pool as typeof undici.Pool;
export const buildConnector = connector as typeof undici.buildConnector;

/** Sends a request by a dispatcher and reads the head of the answer. */
export async function request(
	dispatcher: undici.Dispatcher,
	options: undici.Dispatcher.RequestOptions,
): Promise<undici.Dispatcher.ResponseData> {
	const send = requestOf as (
		this: undici.Dispatcher,
		options: undici.Dispatcher.RequestOptions,
	) => Promise<undici.Dispatcher.ResponseData>;
	return send.call(dispatcher, options);
}
