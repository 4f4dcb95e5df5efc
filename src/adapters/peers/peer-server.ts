import {createHash, timingSafeEqual} from 'node:crypto';
import type {Server} from 'node:http';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {
	createPeerRouter,
	type PeerContext,
	type PeerRouterOptions,
} from './peer-router.js';

/** Options of the server towards peers and operators. */
export type PeerServerOptions = PeerRouterOptions & {
	readonly peerToken: string;
	readonly operatorToken: string;
	/** Largest size of a request body, in bytes. */
	readonly maxBodyBytes: number;
};

const digest = (text: string) => createHash('sha256').update(text).digest();

/** Creates the tRPC server; the caller makes it listen. */
export function createPeerServer(options: PeerServerOptions): Server {
	const peer = digest(`Bearer ${options.peerToken}`);
	const operator = digest(`Bearer ${options.operatorToken}`);
	const roleOf = (header: string | undefined): PeerContext['role'] => {
		const given = digest(header ?? '');
		if (timingSafeEqual(given, peer)) {
			return 'peer';
		}

		return timingSafeEqual(given, operator) ? 'operator' : undefined;
	};

	return createHTTPServer({
		router: createPeerRouter(options),
		maxBodySize: options.maxBodyBytes,
		createContext: ({req}) => ({role: roleOf(req.headers.authorization)}),
	});
}
