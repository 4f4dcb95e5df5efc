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

/** @returns the entry with the highest value, or undefined if there is none */
function highest(
	entries: readonly Entry[],
	valueOf: (holding: Holding) => number,
): Entry | undefined {
	let best: Entry | undefined;
	for (const entry of entries) {
		if (!best || valueOf(entry[1]) > valueOf(best[1])) {
			best = entry;
		}
	}

	return best;
}

/** @returns the connections of the address that holds most */
function ofLargestAddress(held: ReadonlyMap<Receiver, Holding>): Entry[] {
	const totals = new Map<string, number>();
	let largest = '';
	for (const [{address}, {bytes}] of held) {
		const total = (totals.get(address) ?? 0) + bytes;
		totals.set(address, total);
		if (total > (totals.get(largest) ?? 0)) {
			largest = address;
		}
	}

	return [...held].filter(([{address}]) => address === largest);
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

	/**
	 * Chooses what is refused at the limit, of the address that holds most: the largest that has stalled, else the
	 * request of more than usual size that has received least, so that those that have got furthest end.
	 */
	const chooseAtLimit = (): Receiver | undefined => {
		const entries = ofLargestAddress(held);
		const stalledSinceMs = clock.nowMs() - stalledMs;
		const stalled = entries.filter(
			([, {progressedMs}]) => progressedMs <= stalledSinceMs,
		);
		const large = entries.filter(([, {bytes}]) => bytes >= alwaysAllowedBytes);
		const chosen =
			highest(stalled, ({bytes}) => bytes) ??
			highest(large, ({bytes}) => -bytes);
		return chosen?.[0];
	};

	return {
		get totalBytes() {
			return totalBytes;
		},
		mayReceive(receiver) {
			const isLarge = () =>
				(held.get(receiver)?.bytes ?? 0) >= alwaysAllowedBytes;
			while (isOver(maxBytes) && isLarge()) {
				const chosen = chooseAtLimit() ?? receiver;
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
				const largest = highest(ofLargestAddress(held), (each) => each.bytes);
				refuse(largest?.[0] ?? receiver);
			}
		},
	};
}
