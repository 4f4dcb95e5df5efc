import type {Clock} from '../../common/index.js';

/** What one VM has under way at a target. */
export type LoadShare = {
	readonly openCount: number;
	/** Memory that the VM's generations hold, in tokens. */
	readonly memoryTokens: number;
	/** Prompts that were sent and have no first event yet, in tokens. */
	readonly pendingPromptTokens: number;
	/** Tokens by which the VM's generations are expected to grow. */
	readonly growthTokens: number;
};

/** Load of all VMs at the targets: exact for this VM, as last heard for the others. */
export type TargetLoad = {
	/** Changes this VM's own share. */
	add(targetId: string, change: LoadShare): void;
	/** Sum over all VMs. */
	of(targetId: string): LoadShare;
	/** Own shares that are not zero. */
	ownShares(): ReadonlyMap<string, LoadShare>;
	/** Replaces the shares of a peer. */
	heard(vm: string, shares: ReadonlyMap<string, LoadShare>): void;
};

/** No load. */
export const noLoad: LoadShare = {
	openCount: 0,
	memoryTokens: 0,
	pendingPromptTokens: 0,
	growthTokens: 0,
};

/** Sum of two shares. */
export function addLoad(first: LoadShare, second: LoadShare): LoadShare {
	return {
		openCount: first.openCount + second.openCount,
		memoryTokens: first.memoryTokens + second.memoryTokens,
		pendingPromptTokens: first.pendingPromptTokens + second.pendingPromptTokens,
		growthTokens: first.growthTokens + second.growthTokens,
	};
}

/** The share with its sign changed. */
export function negateLoad(share: LoadShare): LoadShare {
	return {
		openCount: -share.openCount,
		memoryTokens: -share.memoryTokens,
		pendingPromptTokens: -share.pendingPromptTokens,
		growthTokens: -share.growthTokens,
	};
}

const isZero = (share: LoadShare) =>
	share.openCount === 0 && share.memoryTokens === 0;

/**
 * Creates an empty book of loads.
 * @param peerTimeoutMs - time after which a silent peer counts as gone, in milliseconds
 */
export function createTargetLoad(
	clock: Clock,
	peerTimeoutMs: number,
): TargetLoad {
	const own = new Map<string, LoadShare>();
	const peers = new Map<
		string,
		{readonly heardMs: number; readonly shares: ReadonlyMap<string, LoadShare>}
	>();

	return {
		add(targetId, change) {
			const sum = addLoad(own.get(targetId) ?? noLoad, change);
			if (isZero(sum)) {
				own.delete(targetId);
			} else {
				own.set(targetId, sum);
			}
		},
		of(targetId) {
			let sum = own.get(targetId) ?? noLoad;
			const nowMs = clock.nowMs();
			for (const [vm, peer] of peers) {
				if (nowMs - peer.heardMs > peerTimeoutMs) {
					peers.delete(vm);
					continue;
				}

				const share = peer.shares.get(targetId);
				if (share) {
					sum = addLoad(sum, share);
				}
			}

			return sum;
		},
		ownShares() {
			return own;
		},
		heard(vm, shares) {
			peers.set(vm, {heardMs: clock.nowMs(), shares});
		},
	};
}
