import type {Server} from 'node:http';
import {initTRPC} from '@trpc/server';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {
	encodeRelayedTables,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import {compressText} from './compressed-text.js';

const t = initTRPC.create();
/** Peers only ask; no request of theirs has a body. */
const maxRequestBytes = 4096;

function createPeerStateRouter(read: () => RelayedTables | undefined) {
	let newest: {readonly text: string; readonly packed: string} | undefined;

	/** Packs a configuration once for all peers that ask; their links are small. */
	const packed = (text: string) => {
		if (newest?.text !== text) {
			newest = {text, packed: compressText(text)};
		}

		return newest.packed;
	};

	return t.router({
		tables: t.procedure.query(() => {
			const tables = read();
			return tables
				? encodeRelayedTables({
						...tables,
						configuration: packed(tables.configuration),
					})
				: null;
		}),
	});
}

/** Procedures that a front daemon offers to its peers. */
export type PeerStateRouter = ReturnType<typeof createPeerStateRouter>;

/**
 * Creates the server that tells peers what this VM has read from the store; the owner makes it listen.
 * @param read - what is known, or undefined before the store was read
 */
export function createPeerStateServer(
	read: () => RelayedTables | undefined,
): Server {
	return createHTTPServer({
		router: createPeerStateRouter(read),
		maxBodySize: maxRequestBytes,
	});
}
