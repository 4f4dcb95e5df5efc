import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import type {PeerRouter} from './peer-router.js';

/** Client of an entry VM over tRPC, used by other entry VMs and by operators. */
export type PeerClient = TRPCClient<PeerRouter>;

export type PeerClientOptions = {
	/** Base URL of the entry VM's peer server. */
	readonly url: string;
	/** Peer or operator token. */
	readonly token: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

export function createPeerClient(options: PeerClientOptions): PeerClient {
	return createTRPCClient<PeerRouter>({
		links: [
			httpLink({
				url: options.url,
				headers: {authorization: `Bearer ${options.token}`},
				async fetch(url, init) {
					const {signal} = init as RequestInit;
					const timeout = AbortSignal.timeout(options.timeoutMs);
					return fetch(url as string | URL, {
						...(init as RequestInit),
						signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
					});
				},
			}),
		],
	});
}
