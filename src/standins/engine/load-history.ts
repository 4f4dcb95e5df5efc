import type {LoadReport} from '../../common/index.js';

/** Fields of a load report that change with every step. */
export type LoadFigures = Pick<
	LoadReport,
	'runningCount' | 'waitingCount' | 'usedTokens' | 'preemptionsTotal'
>;

/** Load figures of recent steps, for load reports that lag. */
export type LoadHistory = {
	/** @param atMs - monotonic time in milliseconds */
	record(figures: LoadFigures, atMs: number): void;
	/** Returns the latest figures that are at least as old as the lag, or zeros. */
	laggedFigures(
		nowMs: number,
	): LoadFigures & Pick<LoadReport, 'sequence' | 'ageMs'>;
};

const maxEntries = 1000;

/** @param lagMs - lag of load reports, in milliseconds */
export function createLoadHistory(lagMs: number): LoadHistory {
	const entries: Array<
		LoadFigures & {readonly sequence: number; readonly atMs: number}
	> = [];
	let sequence = 0;
	return {
		record({runningCount, waitingCount, usedTokens, preemptionsTotal}, atMs) {
			entries.push({
				sequence: ++sequence,
				atMs,
				runningCount,
				waitingCount,
				usedTokens,
				preemptionsTotal,
			});
			if (entries.length > maxEntries) {
				entries.shift();
			}
		},
		laggedFigures(nowMs) {
			const latest = entries.findLast((entry) => entry.atMs <= nowMs - lagMs);
			return {
				sequence: latest?.sequence ?? 0,
				// The entry may be older, but an idle engine doesn't change its load: the figures are those of `lagMs` ago.
				ageMs: latest ? lagMs : 0,
				runningCount: latest?.runningCount ?? 0,
				waitingCount: latest?.waitingCount ?? 0,
				usedTokens: latest?.usedTokens ?? 0,
				preemptionsTotal: latest?.preemptionsTotal ?? 0,
			};
		},
	};
}
