import {createTRPCClient, httpLink} from '@trpc/client';
import {ProblemError} from '../../common/index.js';
import {
	decodeRelayedTables,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import {decompressText} from './compressed-text.js';
import type {PeerStateRouter} from './peer-state-server.js';

/** As much as the store may answer, since a peer relays that. */
const maxAnswerBytes = 16_777_216;

/** Reads an answer as far as the bound and breaks its connection off there. */
async function readBounded(
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
				`the answer is larger than ${maxBytes} bytes`,
			);
		}

		text += decoder.decode(chunk, {stream: true});
	}

	return text + decoder.decode();
}

/**
 * Asks a peer for what it has read from the store.
 * @param address - `address:port` of the peer
 * @param maxBytes - size of an answer that is refused
 * @returns undefined if it knows nothing
 * @throws ProblemError `peer-protocol` if the answer cannot be read, or the client's error
 */
export async function fetchPeerTables(
	address: string,
	timeoutMs: number,
	maxBytes = maxAnswerBytes,
): Promise<RelayedTables | undefined> {
	const client = createTRPCClient<PeerStateRouter>({
		links: [
			httpLink({
				url: `http://${address}`,
				async fetch(url, init) {
					const response = await fetch(url as string | URL, init);
					const text = await readBounded(response, maxBytes);
					return new Response(text, {status: response.status});
				},
			}),
		],
	});
	const answer: unknown = await client.tables.query(undefined, {
		signal: AbortSignal.timeout(timeoutMs),
	});
	if (answer === null) {
		return undefined;
	}

	const tables = decodeRelayedTables(answer);
	return {...tables, configuration: decompressText(tables.configuration)};
}
