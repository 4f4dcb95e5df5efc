import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import type {PeerRouter} from './peer-router.js';

/** Client of one entry VM's procedures. */
export type PeerClient = TRPCClient<PeerRouter>;

/** Options of a client. */
export type PeerClientOptions = {
	/** Base URL of the entry VM's peer server. */
	readonly url: string;
	readonly token: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Creates a client of one entry VM. */
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
