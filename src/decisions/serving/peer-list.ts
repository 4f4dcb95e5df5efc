import type {Clock} from '../../common/index.js';

/** Peers by address, with the time at which each was last heard. */
export type PeerList = {
	readonly addresses: readonly string[];
	/** Largest number of VMs that may be serving, this one included. */
	readonly vmCount: number;
	/** Addresses of the peers that are in this VM's zone, or of those that are not. */
	inZone(isOwn: boolean): readonly string[];
	/** The store names a peer. */
	named(address: string, availabilityZone: string): void;
	/**
	 * A digest arrived.
	 * @returns false if it is older than one that arrived before
	 */
	heard(address: string, digest: PeerMark): boolean;
	/**
	 * True if this VM is one of those that follow the store closely and relay its changes. The VMs
	 * that read the store take this duty in the order of their addresses.
	 */
	isRelay(readsStore: boolean): boolean;
};

/** What a digest says of its sender. */
export type PeerMark = {
	readonly instanceId: string;
	readonly sequence: number;
	readonly availabilityZone: string;
	readonly readsStore: boolean;
};

/** Where this VM is. */
export type OwnPlace = {
	readonly address: string;
	readonly availabilityZone: string;
};

type Peer = PeerMark & {readonly heardMs: number};

/** VMs for each one that relays the store's changes. */
const vmsPerRelay = 8;
/** Fewest relays, so that the loss of one goes unnoticed. */
const minRelays = 2;
/** Time after which a silent peer no longer counts as a relay, in milliseconds. */
const relayTimeoutMs = 4500;

/**
 * Creates a list without peers.
 * @param forgetMs - time after which a silent peer no longer counts, in milliseconds
 */
export function createPeerList(
	clock: Clock,
	{address: ownAddress, availabilityZone: ownZone}: OwnPlace,
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
		inZone(isOwn) {
			return [...peers]
				.filter(([, peer]) => (peer.availabilityZone === ownZone) === isOwn)
				.map(([address]) => address);
		},
		named(address, availabilityZone) {
			if (address !== ownAddress && !peers.has(address)) {
				peers.set(address, {
					heardMs: clock.nowMs(),
					instanceId: '',
					sequence: -1,
					availabilityZone,
					readsStore: false,
				});
			}
		},
		heard(address, digest) {
			const nowMs = clock.nowMs();
			for (const [other, peer] of peers) {
				if (nowMs - peer.heardMs > forgetMs) {
					peers.delete(other);
				}
			}

			const before = peers.get(address);
			if (
				before?.instanceId === digest.instanceId &&
				before.sequence >= digest.sequence
			) {
				return false;
			}

			peers.set(address, {...digest, heardMs: nowMs});
			return true;
		},
		isRelay(readsStore) {
			if (!readsStore) {
				return false;
			}

			const nowMs = clock.nowMs();
			let before = 0;
			for (const [address, peer] of peers) {
				const counts =
					peer.readsStore && nowMs - peer.heardMs <= relayTimeoutMs;
				before += counts && address < ownAddress ? 1 : 0;
			}

			const relayCount = Math.max(
				minRelays,
				Math.ceil((peers.size + 1) / vmsPerRelay),
			);
			return before < relayCount;
		},
	};
}
