import type {Clock} from '../../common/index.js';

/** A connection that holds parts of requests. */
export type Receiver = {
	/** IP address of the caller. */
	readonly address: string;
	/** Refuses the request that is being received, or closes the connection, and frees what it holds. */
	refuse(): void;
};

export type ReceiveMemoryOptions = {
	/** Limit of all connections together, from which requests larger than usual are refused. */
	readonly maxBytes: number;
	readonly clock: Clock;
};

/**
 * Memory of requests that have not been received whole, on all connections of a VM. At the limit, requests are
 * refused until those that remain fit. No connection is held back without being refused: the requests that have
 * got furthest would otherwise wait for each other.
 */
export type ReceiveMemory = {
	readonly totalBytes: number;
	/**
	 * Makes room for more bytes of a connection.
	 * @returns false if the connection itself was refused
	 */
	mayReceive(receiver: Receiver): boolean;
	/** Sets what a connection holds; 0 once its request is whole or the connection is closed. */
	set(receiver: Receiver, bytes: number): void;
};

/** Bytes that a connection may hold although the limit is reached: a request of usual size is smaller. */
const alwaysAllowedBytes = 32_768;
/** Total above which requests of any size are refused, as a multiple of the limit. */
const hardLimitFactor = 1.5;
/** Time without a byte after which a request counts as stalled, in milliseconds. */
const stalledMs = 1000;

type Holding = {bytes: number; progressedMs: number};
type Entry = readonly [Receiver, Holding];

/** @returns the entry that holds most, or undefined if there is none */
function largestOf(entries: readonly Entry[]): Entry | undefined {
	let largest: Entry | undefined;
	for (const entry of entries) {
		if (!largest || entry[1].bytes > largest[1].bytes) {
			largest = entry;
		}
	}

	return largest;
}

/** @returns the entry that holds least, the newest of equals; undefined if there is none */
function smallestOf(entries: readonly Entry[]): Entry | undefined {
	let smallest: Entry | undefined;
	for (const entry of entries) {
		if (!smallest || entry[1].bytes <= smallest[1].bytes) {
			smallest = entry;
		}
	}

	return smallest;
}

/** @returns the connections of each address that has several of these */
function crowdsOf(entries: readonly Entry[]): Entry[][] {
	const groups = new Map<string, Entry[]>();
	for (const entry of entries) {
		const group = groups.get(entry[0].address) ?? [];
		group.push(entry);
		groups.set(entry[0].address, group);
	}

	return [...groups.values()].filter(({length}) => length > 1);
}

function sumBytes(entries: readonly Entry[]): number {
	let sum = 0;
	for (const [, {bytes}] of entries) {
		sum += bytes;
	}

	return sum;
}

/**
 * Chooses which of some requests is refused: one from the address that holds most in several of them; any if no
 * address has several.
 * @param all - all requests; the one that has got furthest is not refused unless it has stalled, so that one ends
 * @returns the largest that has stalled; else the one that has received least
 */
function chooseRefused(
	entries: readonly Entry[],
	all: readonly Entry[],
	nowMs: number,
): Receiver | undefined {
	const hasStalled = ([, {progressedMs}]: Entry) =>
		progressedMs <= nowMs - stalledMs;
	const furthest = largestOf(all.filter((entry) => !hasStalled(entry)));
	let group = entries;
	let groupBytes = 0;
	for (const crowd of crowdsOf(entries)) {
		const crowdBytes = sumBytes(crowd);
		if (crowdBytes > groupBytes) {
			group = crowd;
			groupBytes = crowdBytes;
		}
	}

	const candidates = group.filter(([receiver]) => receiver !== furthest?.[0]);
	const stalled = candidates.filter((entry) => hasStalled(entry));
	const chosen = largestOf(stalled) ?? smallestOf(candidates);
	return chosen?.[0];
}

/** Creates an unused memory. */
export function createReceiveMemory({
	maxBytes,
	clock,
}: ReceiveMemoryOptions): ReceiveMemory {
	const held = new Map<Receiver, Holding>();
	let totalBytes = 0;

	const isOver = (limitBytes: number) => totalBytes >= limitBytes;

	const setBytes = (receiver: Receiver, bytes: number) => {
		const before = held.get(receiver)?.bytes ?? 0;
		totalBytes += bytes - before;
		if (bytes === 0) {
			held.delete(receiver);
		} else if (bytes !== before) {
			held.set(receiver, {bytes, progressedMs: clock.nowMs()});
		}
	};

	const refuse = (receiver: Receiver) => {
		setBytes(receiver, 0);
		receiver.refuse();
	};

	return {
		get totalBytes() {
			return totalBytes;
		},
		mayReceive(receiver) {
			const isLarge = ({bytes}: Holding) => bytes >= alwaysAllowedBytes;
			const needsRoom = () => {
				const holding = held.get(receiver);
				return isOver(maxBytes) && holding !== undefined && isLarge(holding);
			};

			while (needsRoom()) {
				const all = [...held];
				const large = all.filter(([, holding]) => isLarge(holding));
				const chosen = chooseRefused(large, all, clock.nowMs());
				if (!chosen) {
					return true;
				}

				refuse(chosen);
				if (chosen === receiver) {
					return false;
				}
			}

			return true;
		},
		set(receiver, bytes) {
			setBytes(receiver, bytes);
			while (isOver(maxBytes * hardLimitFactor)) {
				const all = [...held];
				const [largest, holding] = largestOf(all) ?? [receiver, undefined];
				// One that takes up the whole limit would otherwise be refused after all others.
				const isOversized = holding !== undefined && holding.bytes >= maxBytes;
				const chosen = isOversized
					? largest
					: chooseRefused(all, all, clock.nowMs());
				refuse(chosen ?? receiver);
			}
		},
	};
}
