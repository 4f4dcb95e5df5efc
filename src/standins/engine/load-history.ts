import type {LoadReport} from '../../common/index.js';

/** Figures of a load report that change with every step. */
export type LoadFigures = Pick<
	LoadReport,
	'runningCount' | 'waitingCount' | 'usedTokens' | 'preemptionsTotal'
>;

/** Figures of recent steps, from which reports are given with a lag. */
export type LoadHistory = {
	/** @param atMs - monotonic time in milliseconds */
	record(figures: LoadFigures, atMs: number): void;
	/** The latest figures that are at least as old as the lag. */
	laggedFigures(
		nowMs: number,
	): LoadFigures & Pick<LoadReport, 'sequence' | 'ageMs'>;
};

const maxKept = 1000;

/**
 * Creates a history without figures.
 * @param lagMs - age of the figures in a report, in milliseconds
 */
export function createLoadHistory(lagMs: number): LoadHistory {
	const kept: Array<
		LoadFigures & {readonly sequence: number; readonly atMs: number}
	> = [];
	let sequence = 0;
	return {
		record({runningCount, waitingCount, usedTokens, preemptionsTotal}, atMs) {
			kept.push({
				sequence: ++sequence,
				atMs,
				runningCount,
				waitingCount,
				usedTokens,
				preemptionsTotal,
			});
			if (kept.length > maxKept) {
				kept.shift();
			}
		},
		laggedFigures(nowMs) {
			const found = kept.findLast((one) => one.atMs <= nowMs - lagMs);
			return {
				sequence: found?.sequence ?? 0,
				// An idle engine records nothing; its last figures still hold as of the lag.
				ageMs: found ? lagMs : 0,
				runningCount: found?.runningCount ?? 0,
				waitingCount: found?.waitingCount ?? 0,
				usedTokens: found?.usedTokens ?? 0,
				preemptionsTotal: found?.preemptionsTotal ?? 0,
			};
		},
	};
}
