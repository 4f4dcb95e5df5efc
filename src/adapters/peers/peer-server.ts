import {createHash, timingSafeEqual} from 'node:crypto';
import type {Server} from 'node:http';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {
	createPeerRouter,
	type PeerContext,
	type PeerRouterOptions,
} from './peer-router.js';

export type PeerServerOptions = PeerRouterOptions & {
	readonly peerToken: string;
	readonly operatorToken: string;
	/** Largest size of a request body, in bytes. */
	readonly maxBodyBytes: number;
};

const digest = (text: string) => createHash('sha256').update(text).digest();

/** Creates the tRPC server for peers and operators; it does not listen yet. */
export function createPeerServer(options: PeerServerOptions): Server {
	const peerDigest = digest(`Bearer ${options.peerToken}`);
	const operatorDigest = digest(`Bearer ${options.operatorToken}`);
	const roleOf = (header: string | undefined): PeerContext['role'] => {
		const givenDigest = digest(header ?? '');
		if (timingSafeEqual(givenDigest, peerDigest)) {
			return 'peer';
		}

		return timingSafeEqual(givenDigest, operatorDigest)
			? 'operator'
			: undefined;
	};

	return createHTTPServer({
		router: createPeerRouter(options),
		maxBodySize: options.maxBodyBytes,
		createContext: ({req}) => ({role: roleOf(req.headers.authorization)}),
	});
}
