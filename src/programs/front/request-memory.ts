import {
	type BufferBudget,
	createBufferBudget,
} from '../../decisions/serving/index.js';
import type {FrontSettings} from './front-settings.js';

/** Memory limit of the requests in progress, as a multiple of the limit for admitting new ones. */
const hardLimitFactor = 2;
const bytesPerMegabyte = 1_048_576;

/** Creates the memory budget of the requests in progress, from the memory of the VM. */
export function createRequestMemory({
	vm,
	requestMemoryPercent,
}: FrontSettings): BufferBudget {
	const admissionLimitBytes =
		vm.limits.memoryMb * bytesPerMegabyte * (requestMemoryPercent / 100);
	return createBufferBudget({
		admissionLimitBytes,
		hardLimitBytes: admissionLimitBytes * hardLimitFactor,
	});
}
