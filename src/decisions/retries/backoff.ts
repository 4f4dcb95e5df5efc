import type {RandomSource} from '../../common/index.js';

/**
 * Delay before a repetition, with full jitter: uniform below an exponentially growing bound.
 * @param failures - failures in a row, at least 1
 * @param baseMs - bound after the first failure, in milliseconds
 * @param maxMs - largest bound, in milliseconds
 * @returns delay in milliseconds
 */
export function fullJitterMs(
	random: RandomSource,
	failures: number,
	baseMs: number,
	maxMs: number,
): number {
	const boundMs = Math.min(maxMs, baseMs * 2 ** (failures - 1));
	return random.nextUnit() * boundMs;
}
