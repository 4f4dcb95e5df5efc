import {createTRPCClient, httpLink} from '@trpc/client';
import {ProblemError} from '../../common/index.js';
import {
	decodeRelayedTables,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import {requireReadableHead} from '../http-client/index.js';
import {decompressText} from './compressed-text.js';
import type {PeerTablesRouter} from './peer-tables-server.js';

/** The body alone decides what a peer says. */
const noDecidingHeaders: ReadonlySet<string> = new Set();
/** The same limit as for a store response, since the peer relays one. */
const maxResponseBytes = 16_777_216;

/**
 * Reads a response body; beyond the limit the rest is not read and the connection is closed.
 * @throws ProblemError `peer-protocol` if the body is too large
 */
async function readLimited(
	response: Response,
	maxBytes: number,
): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	let readBytes = 0;
	const chunks: AsyncIterable<Uint8Array> | undefined =
		response.body ?? undefined;
	for await (const chunk of chunks ?? []) {
		readBytes += chunk.byteLength;
		if (readBytes > maxBytes) {
			throw new ProblemError(
				'peer-protocol',
				`the response of the peer is larger than ${maxBytes} bytes`,
			);
		}

		text += decoder.decode(chunk, {stream: true});
	}

	return text + decoder.decode();
}

/**
 * Fetches the store's tables from a peer.
 * @param address - `address:port` of the peer
 * @param maxBytes - largest accepted response
 * @returns undefined if the peer does not have the tables either
 * @throws ProblemError `peer-protocol` if the response is malformed or too large; other errors are
 * those of the tRPC client
 */
export async function fetchPeerTables(
	address: string,
	timeoutMs: number,
	maxBytes = maxResponseBytes,
): Promise<RelayedTables | undefined> {
	const client = createTRPCClient<PeerTablesRouter>({
		links: [
			httpLink({
				url: `http://${address}`,
				async fetch(url, init) {
					const response = await fetch(url as string | URL, init);
					requireReadableHead(
						{
							status: response.status,
							reason: response.statusText,
							headers: [...response.headers],
						},
						noDecidingHeaders,
					);
					const text = await readLimited(response, maxBytes);
					return new Response(text, {status: response.status});
				},
			}),
		],
	});
	const response: unknown = await client.tables.query(undefined, {
		signal: AbortSignal.timeout(timeoutMs),
	});
	if (response === null) {
		return undefined;
	}

	const tables = decodeRelayedTables(response);
	return {...tables, configuration: decompressText(tables.configuration)};
}
