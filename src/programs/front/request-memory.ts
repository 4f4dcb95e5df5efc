import {
	type BufferBudget,
	createBufferBudget,
} from '../../decisions/serving/index.js';
import type {FrontSettings} from './front-settings.js';
import {heapSharesOf} from './heap-shares.js';

/** Memory of the requests in progress. */
export type RequestMemory = {
	readonly bufferBudget: BufferBudget;
	/** Memory that the open requests of one address may hold, in bytes. */
	readonly maxAddressBytes: number;
};

/** Memory limit of the requests in progress, as a multiple of the limit for admitting new ones. */
const hardLimitFactor = 2;
const bytesPerMegabyte = 1_048_576;

/** Divides what the memory of the VM and the heap of the process leave for requests in progress. */
export function createRequestMemory({
	vm,
	requestMemoryPercent,
	addressConnectionsPercent,
	heapLimitBytes,
}: FrontSettings): RequestMemory {
	const admissionLimitBytes = Math.min(
		vm.limits.memoryMb * bytesPerMegabyte * (requestMemoryPercent / 100),
		heapSharesOf(heapLimitBytes).requestBytes,
	);
	return {
		bufferBudget: createBufferBudget({
			admissionLimitBytes,
			hardLimitBytes: admissionLimitBytes * hardLimitFactor,
		}),
		maxAddressBytes: admissionLimitBytes * (addressConnectionsPercent / 100),
	};
}
