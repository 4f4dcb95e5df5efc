import type {Disposable} from '../../common/index.js';

/** Bounds on what the requests of a VM hold in memory, in bytes. */
export type BufferBudgetLimits = {
	/** Sum from which on new requests are refused. */
	readonly admissionLimitBytes: number;
	/** Sum beyond which a request that needs more is broken off. */
	readonly hardLimitBytes: number;
};

/** Why no more may be held. */
export type BufferLimitReason = 'too large' | 'the memory of the VM is used up';

/** What one answer, request or connection holds. */
export type BufferUsage = Disposable & {
	readonly bytes: number;
	/**
	 * Sets what is held.
	 * @returns why that is too much; the owner then lets go of it
	 */
	set(bytes: number): BufferLimitReason | undefined;
};

/** Bytes that all requests of a VM hold together. */
export type BufferBudget = {
	/** True while new requests are refused; those under way go on. */
	readonly isFull: boolean;
	/** @param maxBytes - largest size that is sound */
	track(maxBytes: number): BufferUsage;
};

/**
 * Creates a book without holdings. Answers the pattern "bytes without end": a target, or a caller that
 * does not read, costs its own request and not the VM with all others.
 */
export function createBufferBudget(bounds: BufferBudgetLimits): BufferBudget {
	let totalBytes = 0;
	return {
		get isFull() {
			return totalBytes >= bounds.admissionLimitBytes;
		},
		track(maxBytes) {
			let heldBytes = 0;
			return {
				get bytes() {
					return heldBytes;
				},
				set(bytes) {
					const isMore = bytes > heldBytes;
					totalBytes += bytes - heldBytes;
					heldBytes = bytes;
					if (bytes > maxBytes) {
						return 'too large';
					}

					return isMore && totalBytes > bounds.hardLimitBytes
						? 'the memory of the VM is used up'
						: undefined;
				},
				dispose() {
					totalBytes -= heldBytes;
					heldBytes = 0;
				},
			};
		},
	};
}
