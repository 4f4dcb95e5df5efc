import type {Server} from 'node:http';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {
	encodeRelayedTables,
	type RelayedTables,
} from '../../decisions/serving/index.js';
import {createBoundedServer, type ServerBounds} from './bounded-server.js';
import {compressText} from './compressed-text.js';

const t = initTRPC.create();
/** Limit of a request body; the only procedure is a query without one. */
const maxRequestBytes = 4096;
/** Time in which a peer must have sent its request, in milliseconds. */
const maxReceiveMs = 5000;

function createPeerTablesRouter(readTables: () => RelayedTables | undefined) {
	let newest: {readonly text: string; readonly compressed: string} | undefined;

	/** Compresses each configuration once for all peers; the bandwidth between VMs is small. */
	const compressOnce = (text: string) => {
		if (newest?.text !== text) {
			newest = {text, compressed: compressText(text)};
		}

		return newest.compressed;
	};

	return t.router({
		tables: t.procedure.query(() => {
			const tables = readTables();
			return tables
				? encodeRelayedTables({
						...tables,
						configuration: compressOnce(tables.configuration),
					})
				: null;
		}),
	});
}

/** Type of the tRPC router that a front daemon serves to its peers. */
export type PeerTablesRouter = ReturnType<typeof createPeerTablesRouter>;

/**
 * Creates the server from which peers that cannot read the store fetch its tables; the owner makes it
 * listen.
 * @param readTables - returns the newest tables of this VM, or undefined before it has them
 * @param bounds - limits of its connections
 */
export function createPeerTablesServer(
	readTables: () => RelayedTables | undefined,
	bounds: ServerBounds,
): Server {
	const handle = createHTTPHandler({
		router: createPeerTablesRouter(readTables),
		maxBodySize: maxRequestBytes,
	});
	const http = {headersTimeout: maxReceiveMs, requestTimeout: maxReceiveMs};
	return createBoundedServer({...bounds, http}, handle);
}
