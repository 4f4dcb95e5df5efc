import type {Clock} from '../../common/index.js';

/** Peers by address, with the time at which each was last heard. */
export type PeerList = {
	/** Addresses to which digests go. */
	readonly addresses: readonly string[];
	/** Largest number of VMs that may be serving, this one included. */
	readonly vmCount: number;
	/** The store names a peer. */
	named(address: string): void;
	/**
	 * A digest arrived.
	 * @returns false if it is older than one that arrived before
	 */
	heard(address: string, instanceId: string, sequence: number): boolean;
};

type Peer = {heardMs: number; instanceId: string; sequence: number};

/**
 * Creates a list without peers.
 * @param forgetMs - time after which a silent peer no longer counts, in milliseconds
 */
export function createPeerList(
	clock: Clock,
	ownAddress: string,
	forgetMs: number,
): PeerList {
	const peers = new Map<string, Peer>();
	return {
		get addresses() {
			return [...peers.keys()];
		},
		get vmCount() {
			return peers.size + 1;
		},
		named(address) {
			if (address !== ownAddress && !peers.has(address)) {
				peers.set(address, {
					heardMs: clock.nowMs(),
					instanceId: '',
					sequence: -1,
				});
			}
		},
		heard(address, instanceId, sequence) {
			const nowMs = clock.nowMs();
			for (const [other, peer] of peers) {
				if (nowMs - peer.heardMs > forgetMs) {
					peers.delete(other);
				}
			}

			const before = peers.get(address);
			if (
				before &&
				before.instanceId === instanceId &&
				before.sequence >= sequence
			) {
				return false;
			}

			peers.set(address, {heardMs: nowMs, instanceId, sequence});
			return true;
		},
	};
}
