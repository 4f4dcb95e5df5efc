import type {Clock} from '../../common/index.js';
import type {MemberInfo, StoreReadState} from './types.js';

/** VMs that are heard of, in the order in which they take duties. */
export type MemberList = {
	/** Largest number of VMs that may be serving, this one included. */
	readonly vmCount: number;
	/** The same, once this VM has had the time to hear of all; undefined before. */
	readonly settledVmCount: number | undefined;
	/** The first live member; it places the generations of all. */
	readonly coordinator: MemberInfo;
	/** True once this VM has been the first long enough to know what the others run. */
	readonly isCoordinator: boolean;
	/** Live members, the strongest first, this VM among them. */
	rankedMembers(): readonly MemberInfo[];
	/** Addresses of all others that are heard of, suspected ones included. */
	peerAddresses(): Iterable<string>;
	/** Members that keep account of all runs: the coordinator and the one that would follow it. */
	coordinatorAndStandby(): readonly MemberInfo[];
	/** True if this VM is one of the few that read the store for all. */
	isStoreReader(reading: StoreReadState): boolean;
	/**
	 * True if the VMs that read the store for all have lost it, so that nobody is told of changes.
	 * @param reading - how this VM itself stands to the store
	 */
	haveReadersLostStore(reading: StoreReadState): boolean;
	/**
	 * A member was heard, or heard of.
	 * @param ageMs - time since it was heard itself, in milliseconds
	 */
	recordSeen(member: MemberInfo, ageMs: number): void;
	/** Another VM knows of this many. */
	recordVmCount(vmCount: number): void;
	/** Time since a VM was heard itself, in milliseconds; Infinity if it is not known. */
	silentMs(address: string): number;
	/** A member does not answer; it has no duties for a while. */
	suspect(address: string): void;
	/** This VM did not run for a while; what it knows of others may be old. */
	handlePause(): void;
};

/** Time after which a silent member counts as gone, in milliseconds. */
const memberTimeoutMs = 2500;
/** Time for which a member that did not answer has no duties, in milliseconds. */
const suspectMs = 1500;
/** Time in which others tell a new coordinator of their runs, in milliseconds. */
const settleMs = 1200;
/** Time in which a VM that hears others hears of all, in milliseconds. */
const countedAfterMs = 1500;
/** Time in which VMs whose seeds are all gone find each other through the store, in milliseconds. */
const foundAfterMs = 8000;
/** Time for which a count of VMs holds, in milliseconds; the retry budget is shared by it. */
const countMs = 30_000;
/** VMs that read the store for all; the loss of one goes unnoticed. */
const readerCount = 2;
/** First members among which readers are looked for; with the store away, no more VMs try it. */
const readerCandidates = 8;
const accountantCount = 2;
/** Interval at which silent members are looked for, in milliseconds. */
const checkMs = 50;

type Known = {
	readonly mark: MemberInfo;
	readonly heardMs: number;
};

function byDuty(first: MemberInfo, second: MemberInfo): number {
	return (
		second.cpuMsPerSecond - first.cpuMsPerSecond ||
		(first.address < second.address
			? -1
			: first.address > second.address
				? 1
				: 0)
	);
}

/** Creates a list with this VM alone. */
export function createMemberList(clock: Clock, own: MemberInfo): MemberList {
	const createdMs = clock.nowMs();
	const others = new Map<string, Known>();
	const suspected = new Map<string, number>();
	let ranking: readonly MemberInfo[] | undefined;
	let rankedMs = -Infinity;
	let firstSinceMs: number | undefined = clock.nowMs();
	let largestCount = 1;
	let countedMs = -Infinity;

	const changed = () => {
		ranking = undefined;
	};

	const dropSilent = (nowMs: number) => {
		for (const [address, {heardMs}] of others) {
			if (nowMs - heardMs > memberTimeoutMs) {
				others.delete(address);
				changed();
			}
		}

		for (const [address, untilMs] of suspected) {
			if (nowMs >= untilMs) {
				suspected.delete(address);
				changed();
			}
		}
	};

	const noteCount = (count: number) => {
		const nowMs = clock.nowMs();
		if (count >= largestCount || nowMs - countedMs > countMs) {
			largestCount = count;
			countedMs = nowMs;
		}
	};

	const rankedMembers = () => {
		const nowMs = clock.nowMs();
		if (nowMs - rankedMs >= checkMs) {
			rankedMs = nowMs;
			dropSilent(nowMs);
		}

		if (!ranking) {
			ranking = [
				own,
				...[...others.values()]
					.map(({mark}) => mark)
					.filter(({address}) => !suspected.has(address)),
			].sort(byDuty);
			const isFirst = ranking[0].address === own.address;
			firstSinceMs = isFirst ? (firstSinceMs ?? nowMs) : undefined;
			noteCount(others.size + 1);
		}

		return ranking;
	};

	const vmCount = () => Math.max(largestCount, others.size + 1);

	return {
		rankedMembers,
		get vmCount() {
			return vmCount();
		},
		get settledVmCount() {
			const afterMs = vmCount() > 1 ? countedAfterMs : foundAfterMs;
			return clock.nowMs() - createdMs >= afterMs ? vmCount() : undefined;
		},
		peerAddresses() {
			rankedMembers();
			return others.keys();
		},
		get coordinator() {
			return rankedMembers()[0];
		},
		get isCoordinator() {
			rankedMembers();
			return (
				firstSinceMs !== undefined && clock.nowMs() - firstSinceMs >= settleMs
			);
		},
		coordinatorAndStandby: () => rankedMembers().slice(0, accountantCount),
		isStoreReader(reading) {
			const candidates = rankedMembers().slice(0, readerCandidates);
			const place = candidates.findIndex(
				({address}) => address === own.address,
			);
			const able = candidates
				.slice(0, Math.max(0, place))
				.filter((member) => member.storeReadState !== 'lost');
			return place !== -1 && (reading === 'lost' || able.length < readerCount);
		},
		haveReadersLostStore(reading) {
			const candidates = rankedMembers().slice(0, readerCandidates);
			const lostCount = candidates.filter(
				(member) =>
					(member.address === own.address ? reading : member.storeReadState) ===
					'lost',
			).length;
			return lostCount >= Math.min(readerCount, candidates.length);
		},
		recordSeen(mark, ageMs) {
			if (mark.address === own.address) {
				return;
			}

			const heardMs = clock.nowMs() - ageMs;
			const before = others.get(mark.address);
			if (before && before.heardMs >= heardMs) {
				return;
			}

			others.set(mark.address, {mark, heardMs});
			const isCleared = ageMs === 0 && suspected.delete(mark.address);
			const isSame =
				before?.mark.storeReadState === mark.storeReadState &&
				before.mark.cpuMsPerSecond === mark.cpuMsPerSecond;
			if (isCleared || !isSame) {
				changed();
			}
		},
		recordVmCount(vmCount) {
			noteCount(vmCount);
		},
		silentMs(address) {
			const known = others.get(address);
			return known ? clock.nowMs() - known.heardMs : Infinity;
		},
		suspect(address) {
			if (others.has(address)) {
				suspected.set(address, clock.nowMs() + suspectMs);
				changed();
			}
		},
		handlePause() {
			firstSinceMs = undefined;
			changed();
		},
	};
}
