import type {Disposable, ResponseDefect} from '../../common/index.js';

/** Limits on the memory that the requests of a VM use for buffers, in bytes. */
export type BufferBudgetLimits = {
	/** Total usage from which new requests are refused. */
	readonly admissionLimitBytes: number;
	/** Total usage above which a request that needs more is aborted. */
	readonly hardLimitBytes: number;
};

/** Limit that was exceeded: the one of the owner or the one of the VM. */
export type BufferLimitReason = 'too large' | 'the memory of the VM is used up';

/** The defect of a response that exceeds a limit. */
export const defectOf = (reason: BufferLimitReason): ResponseDefect =>
	reason === 'too large' ? 'too-large' : 'no-memory';

/** Buffered bytes of one response, request or connection. Disposing it gives them back. */
export type BufferUsage = Disposable & {
	readonly bytes: number;
	/**
	 * Sets the number of buffered bytes.
	 * @returns the limit that is exceeded; the owner must then abort and dispose the usage
	 */
	set(bytes: number): BufferLimitReason | undefined;
};

/** Bytes that all requests of a VM buffer together. */
export type BufferBudget = {
	/** True while new requests are refused; requests in progress continue. */
	readonly isFull: boolean;
	/**
	 * Starts to track one owner of buffers.
	 * @param maxBytes - limit of this owner
	 */
	track(maxBytes: number): BufferUsage;
};

/**
 * Creates an unused budget. A target that sends endless data, or a caller that does not read, then
 * costs its own request only and does not exhaust the memory of the VM.
 */
export function createBufferBudget(limits: BufferBudgetLimits): BufferBudget {
	let totalBytes = 0;
	return {
		get isFull() {
			return totalBytes >= limits.admissionLimitBytes;
		},
		track(maxBytes) {
			let usedBytes = 0;
			return {
				get bytes() {
					return usedBytes;
				},
				set(bytes) {
					const isMore = bytes > usedBytes;
					totalBytes += bytes - usedBytes;
					usedBytes = bytes;
					if (bytes > maxBytes) {
						return 'too large';
					}

					return isMore && totalBytes > limits.hardLimitBytes
						? 'the memory of the VM is used up'
						: undefined;
				},
				dispose() {
					totalBytes -= usedBytes;
					usedBytes = 0;
				},
			};
		},
	};
}
