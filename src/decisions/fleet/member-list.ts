import type {Clock} from '../../common/index.js';
import type {MemberInfo, StoreReadState} from './types.js';

/**
 * Known live VMs, ranked by CPU. Each VM derives the coordinator and the store readers from its own list.
 * There is no consensus, so two VMs may have the same role for a while.
 */
export type MemberList = {
	/** Largest number of VMs that may be serving, this one included. */
	readonly vmCount: number;
	/** `vmCount` once this VM has run long enough to discover all others; undefined before. */
	readonly settledVmCount: number | undefined;
	/**
	 * Fraction of `vmCount` that is live by this VM's knowledge, this VM included. In a network partition the
	 * fractions of all sides add up to 1.
	 */
	readonly liveFraction: number;
	/**
	 * Highest-ranked live member, to which requests go; it places the generations of all VMs. If it is this
	 * VM, `isCoordinator` says whether its takeover is complete.
	 */
	readonly coordinator: MemberInfo;
	/**
	 * True once this VM has ranked first for long enough to have received the runs of the other VMs.
	 */
	readonly isCoordinator: boolean;
	/** Live members that are not suspected, this VM among them; most CPU first. */
	rankedMembers(): readonly MemberInfo[];
	/** Addresses of all other known members, suspected ones included. */
	peerAddresses(): Iterable<string>;
	/** The coordinator and its successor; both keep a registry of all runs. */
	coordinatorAndStandby(): readonly MemberInfo[];
	/**
	 * True if this VM is one of the few that read the store on behalf of all.
	 * @param ownState - store read state of this VM
	 */
	isStoreReader(ownState: StoreReadState): boolean;
	/**
	 * True if at least as many candidates as there are readers have lost the store, which counts as an
	 * outage of the store.
	 * @param ownState - store read state of this VM
	 */
	haveReadersLostStore(ownState: StoreReadState): boolean;
	/**
	 * Records a message from a member, or one that another member reports.
	 * @param ageMs - time since the member's own message, in milliseconds; 0 if it has just arrived
	 */
	recordSeen(member: MemberInfo, ageMs: number): void;
	/** Records the number of VMs that another VM reports. */
	recordVmCount(vmCount: number): void;
	/** Time since a VM's last message, in milliseconds; Infinity if the VM is unknown. */
	silentMs(address: string): number;
	/** Excludes a member that does not respond from all roles for a short time. */
	suspect(address: string): void;
	/**
	 * Ends the term of this VM as coordinator after its process was paused, since its view of the other
	 * VMs may be out of date; the takeover delay starts again.
	 */
	handlePause(): void;
};

/** Time without a message after which a member is removed, in milliseconds. */
const memberTimeoutMs = 2500;
/** Time for which a suspected member has no role, in milliseconds. */
const suspicionMs = 1500;
/** Time in which the other VMs send a new coordinator their runs, in milliseconds. */
const takeoverDelayMs = 1200;
/** Time in which a VM that has found a peer learns of all others, in milliseconds. */
const discoveryMs = 1500;
/** Time in which VMs whose seeds are all gone find each other through the store, in milliseconds. */
const discoveryByStoreMs = 8000;
/**
 * Time for which a VM count is kept when smaller counts follow, in milliseconds. The fleet's retry limit is
 * divided by the count; with a count that is too small VMs would exceed the limit.
 */
const vmCountHoldMs = 30_000;
/** Number of VMs that read the store on behalf of all; with two, relaying goes on when one is lost. */
const readerCount = 2;
/** Readers are chosen among this many members, so that no more VMs poll a store that is down. */
const readerCandidateCount = 8;
const coordinatorAndStandbyCount = 2;
/** Shortest interval between two checks for expired members, in milliseconds. */
const expiryCheckIntervalMs = 50;

type KnownMember = {
	readonly info: MemberInfo;
	readonly lastSeenMs: number;
};

/** Orders by CPU, then by address, so that all VMs derive the same ranking. */
function compareRank(first: MemberInfo, second: MemberInfo): number {
	return (
		second.cpuMsPerSecond - first.cpuMsPerSecond ||
		(first.address < second.address
			? -1
			: first.address > second.address
				? 1
				: 0)
	);
}

/** Creates a list that holds only this VM. */
export function createMemberList(clock: Clock, own: MemberInfo): MemberList {
	const createdMs = clock.nowMs();
	const peers = new Map<string, KnownMember>();
	const suspectedUntilMs = new Map<string, number>();
	let ranking: readonly MemberInfo[] | undefined;
	let expiryCheckedMs = -Infinity;
	let rankedFirstSinceMs: number | undefined = clock.nowMs();
	let heldVmCount = 1;
	let vmCountUpdatedMs = -Infinity;

	const invalidateRanking = () => {
		ranking = undefined;
	};

	const removeExpired = (nowMs: number) => {
		for (const [address, {lastSeenMs}] of peers) {
			if (nowMs - lastSeenMs > memberTimeoutMs) {
				peers.delete(address);
				invalidateRanking();
			}
		}

		for (const [address, untilMs] of suspectedUntilMs) {
			if (nowMs >= untilMs) {
				suspectedUntilMs.delete(address);
				invalidateRanking();
			}
		}
	};

	const updateVmCount = (count: number) => {
		const nowMs = clock.nowMs();
		if (count >= heldVmCount || nowMs - vmCountUpdatedMs > vmCountHoldMs) {
			heldVmCount = count;
			vmCountUpdatedMs = nowMs;
		}
	};

	const rankedMembers = () => {
		const nowMs = clock.nowMs();
		if (nowMs - expiryCheckedMs >= expiryCheckIntervalMs) {
			expiryCheckedMs = nowMs;
			removeExpired(nowMs);
		}

		if (!ranking) {
			ranking = [
				own,
				...[...peers.values()]
					.map(({info}) => info)
					.filter(({address}) => !suspectedUntilMs.has(address)),
			].sort(compareRank);
			const isFirst = ranking[0].address === own.address;
			rankedFirstSinceMs = isFirst ? (rankedFirstSinceMs ?? nowMs) : undefined;
			updateVmCount(peers.size + 1);
		}

		return ranking;
	};

	const vmCount = () => Math.max(heldVmCount, peers.size + 1);

	return {
		rankedMembers,
		get vmCount() {
			return vmCount();
		},
		get liveFraction() {
			rankedMembers();
			return (peers.size + 1) / vmCount();
		},
		get settledVmCount() {
			const settledAfterMs = vmCount() > 1 ? discoveryMs : discoveryByStoreMs;
			return clock.nowMs() - createdMs >= settledAfterMs
				? vmCount()
				: undefined;
		},
		peerAddresses() {
			rankedMembers();
			return peers.keys();
		},
		get coordinator() {
			return rankedMembers()[0];
		},
		get isCoordinator() {
			rankedMembers();
			return (
				rankedFirstSinceMs !== undefined &&
				clock.nowMs() - rankedFirstSinceMs >= takeoverDelayMs
			);
		},
		coordinatorAndStandby: () =>
			rankedMembers().slice(0, coordinatorAndStandbyCount),
		isStoreReader(ownState) {
			const candidates = rankedMembers().slice(0, readerCandidateCount);
			const rank = candidates.findIndex(({address}) => address === own.address);
			// Higher-ranked candidates that can read the store.
			const able = candidates
				.slice(0, Math.max(0, rank))
				.filter((member) => member.storeReadState !== 'lost');
			// A candidate whose reads fail goes on reading, so that it notices when the store is back.
			return rank !== -1 && (ownState === 'lost' || able.length < readerCount);
		},
		haveReadersLostStore(ownState) {
			const candidates = rankedMembers().slice(0, readerCandidateCount);
			const lostCount = candidates.filter(
				(member) =>
					(member.address === own.address
						? ownState
						: member.storeReadState) === 'lost',
			).length;
			return lostCount >= Math.min(readerCount, candidates.length);
		},
		recordSeen(info, ageMs) {
			if (info.address === own.address) {
				return;
			}

			const lastSeenMs = clock.nowMs() - ageMs;
			const previous = peers.get(info.address);
			if (previous && previous.lastSeenMs >= lastSeenMs) {
				return;
			}

			peers.set(info.address, {info, lastSeenMs});
			// Only a direct message shows that a suspected member responds again.
			const isCleared = ageMs === 0 && suspectedUntilMs.delete(info.address);
			const isUnchanged =
				previous?.info.storeReadState === info.storeReadState &&
				previous.info.cpuMsPerSecond === info.cpuMsPerSecond;
			if (isCleared || !isUnchanged) {
				invalidateRanking();
			}
		},
		recordVmCount(reportedVmCount) {
			updateVmCount(reportedVmCount);
		},
		silentMs(address) {
			const member = peers.get(address);
			return member ? clock.nowMs() - member.lastSeenMs : Infinity;
		},
		suspect(address) {
			if (peers.has(address)) {
				suspectedUntilMs.set(address, clock.nowMs() + suspicionMs);
				invalidateRanking();
			}
		},
		handlePause() {
			rankedFirstSinceMs = undefined;
			invalidateRanking();
		},
	};
}
