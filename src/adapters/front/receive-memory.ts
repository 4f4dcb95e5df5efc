import type {Disposable, Timers} from '../../common/index.js';

/** A connection that holds parts of requests. */
export type Receiver = {
	/** IP address of the caller. */
	readonly address: string;
	/** Goes on receiving if `mayReceive` allows it. */
	resume(): void;
	/** Closes the connection and frees what it holds. */
	close(): void;
};

export type ReceiveMemoryOptions = {
	/** Limit of all connections together, from which large requests wait. */
	readonly maxBytes: number;
	readonly timers: Timers;
};

/**
 * Memory of requests that have not been received whole, on all connections of a VM. Above the limit,
 * connections that hold more than a request of usual size are not read, and one of them is closed
 * each second; far above, it closes connections at once. It closes the one that holds most, of the
 * address that holds most.
 */
export type ReceiveMemory = Disposable & {
	readonly totalBytes: number;
	/** @returns false if the connection must wait; `resume` is then called when there is memory */
	mayReceive(receiver: Receiver): boolean;
	/** Sets what a connection holds; 0 once its request is whole or the connection is closed. */
	set(receiver: Receiver, bytes: number): void;
};

/** Bytes that a connection may hold although others have to wait: a request of usual size is smaller. */
const alwaysAllowedBytes = 32_768;
/** Total above which connections are closed at once, as a multiple of the limit. */
const hardLimitFactor = 1.5;
/**
 * Time that large requests wait for memory before one of them is closed, in milliseconds. Closing at
 * once would let a crowd send again and again, faster than the garbage collector frees the buffers.
 */
const closeIntervalMs = 1000;

const byBytes = (
	a: readonly [unknown, number],
	b: readonly [unknown, number],
) => b[1] - a[1];

/** @returns the connection that holds most, of the address that holds most */
function largestOf(held: ReadonlyMap<Receiver, number>): Receiver | undefined {
	const ofAddress = new Map<string, number>();
	for (const [{address}, bytes] of held) {
		ofAddress.set(address, (ofAddress.get(address) ?? 0) + bytes);
	}

	const [address] = [...ofAddress].sort(byBytes).at(0) ?? [];
	return [...held]
		.filter(([receiver]) => receiver.address === address)
		.sort(byBytes)
		.at(0)?.[0];
}

/** Creates an unused memory. */
export function createReceiveMemory({
	maxBytes,
	timers,
}: ReceiveMemoryOptions): ReceiveMemory {
	const held = new Map<Receiver, number>();
	const waiting = new Set<Receiver>();
	let totalBytes = 0;
	let closeTimeout: Disposable | undefined;

	const setBytes = (receiver: Receiver, bytes: number) => {
		totalBytes += bytes - (held.get(receiver) ?? 0);
		if (bytes > 0) {
			held.set(receiver, bytes);
		} else {
			held.delete(receiver);
			waiting.delete(receiver);
		}
	};

	const closeLargest = () => {
		const largest = largestOf(held);
		if (largest) {
			setBytes(largest, 0);
			largest.close();
		}
	};

	const resumeWaiting = () => {
		const receivers = totalBytes < maxBytes ? [...waiting] : [];
		for (const receiver of receivers) {
			waiting.delete(receiver);
			receiver.resume();
		}
	};

	const closeForWaiting = () => {
		closeTimeout = undefined;
		if (waiting.size === 0) {
			return;
		}

		closeLargest();
		resumeWaiting();
		if (waiting.size > 0) {
			closeTimeout ??= timers.after(closeIntervalMs, closeForWaiting);
		}
	};

	return {
		get totalBytes() {
			return totalBytes;
		},
		mayReceive(receiver) {
			if (
				totalBytes < maxBytes ||
				(held.get(receiver) ?? 0) < alwaysAllowedBytes
			) {
				return true;
			}

			waiting.add(receiver);
			closeTimeout ??= timers.after(closeIntervalMs, closeForWaiting);
			return false;
		},
		set(receiver, bytes) {
			const isLess = bytes < (held.get(receiver) ?? 0);
			setBytes(receiver, bytes);
			for (
				let excess = totalBytes - maxBytes * hardLimitFactor;
				excess > 0;
				excess = totalBytes - maxBytes * hardLimitFactor
			) {
				closeLargest();
			}

			if (isLess) {
				resumeWaiting();
			}
		},
		dispose() {
			closeTimeout?.dispose();
			waiting.clear();
		},
	};
}
