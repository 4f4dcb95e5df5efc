import type {RandomSource} from '../../common/index.js';

/**
 * Delay before a retry, with full jitter: uniformly distributed below an exponentially growing bound.
 * @param failures - consecutive failures, at least 1
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
