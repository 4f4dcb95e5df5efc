import process from 'node:process';
import {getHeapStatistics} from 'node:v8';

const bytesPerMegabyte = 1_048_576;
const oldSpaceFlag = /--max[-_]old[-_]space[-_]size=(\d+)/;

/**
 * Returns the limit of the heap for objects that live long, in bytes. V8 itself reports only the limit of the
 * whole heap, which includes the space for new objects.
 */
export function readHeapLimitBytes(): number {
	const flags = [...process.execArgv, process.env.NODE_OPTIONS ?? ''];
	const limitMb = oldSpaceFlag.exec(flags.join(' '))?.[1];
	return limitMb === undefined
		? getHeapStatistics().heap_size_limit
		: Number(limitMb) * bytesPerMegabyte;
}
