import {createTRPCClient, httpLink} from '@trpc/client';
import {
	decodeRelayedTables,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import type {PeerStateRouter} from './peer-state-server.js';

/**
 * Asks a peer for what it has read from the store.
 * @param address - `address:port` of the peer
 * @returns undefined if it knows nothing
 * @throws ProblemError `peer-protocol` if the answer cannot be read, or the client's error
 */
export async function askPeerForTables(
	address: string,
	timeoutMs: number,
): Promise<RelayedTables | undefined> {
	const client = createTRPCClient<PeerStateRouter>({
		links: [httpLink({url: `http://${address}`})],
	});
	const answer: unknown = await client.tables.query(undefined, {
		signal: AbortSignal.timeout(timeoutMs),
	});
	return answer === null ? undefined : decodeRelayedTables(answer);
}
