import {minuteMs, minuteOf} from './constants.js';
import type {PeerUsageTotals, UsageReport} from './types.js';

/** Latest usage reports of other VMs, by source and client account. */
export type PeerUsage = {
	/** Number of stored reports. */
	readonly size: number;
	/**
	 * Stores a report and replaces the previous one of the same source and account. A report for a minute
	 * that is too far ahead is ignored.
	 * @param source - entry VM or group of them
	 * @param wallMs - wall-clock time of receipt, in milliseconds
	 */
	recordReport(
		source: string,
		account: string,
		report: UsageReport,
		wallMs: number,
	): void;
	/**
	 * Removes a source that has ended. Tokens that it produced in this minute still count; its rate does
	 * not, since it produces no more.
	 * @param wallMs - wall-clock time in milliseconds
	 */
	removeSource(source: string, wallMs: number): void;
	/**
	 * Sums the usage of an account over other VMs.
	 * @param includes - selects the sources to sum; all if omitted
	 */
	sumUsage(
		account: string,
		wallMs: number,
		includes?: (source: string) => boolean,
	): PeerUsageTotals;
	/** Wall-clock time at which a source's report on an account was received, in milliseconds. */
	reportedAtMs(source: string, account: string): number | undefined;
	/** Accounts with at least one report. */
	accounts(): Iterable<string>;
};

type StoredReport = {readonly report: UsageReport; readonly atWallMs: number};

// Reports up to this many minutes ahead are accepted, since the clock of their sender may be ahead.
const maxMinutesAhead = 1;

// Suffix of the entry that keeps the tokens of an ended source. It counts until the minute is over and is
// deleted when a later source is removed. Names of VMs contain no space, so it cannot collide with one.
const endedSuffix = ' ended';

/**
 * Estimates the tokens that a source has produced since its last report, assuming that its rate is
 * unchanged.
 * @param silentMs - time since the report, in milliseconds
 */
export function extrapolateTokens(
	report: UsageReport,
	silentMs: number,
): number {
	return (report.tokensPerSecond * silentMs) / 1000;
}

/** Tokens of a source that count towards the ceiling in the current minute. */
function ceilingTokens(
	{report, atWallMs}: StoredReport,
	wallMs: number,
	extrapolate: typeof extrapolateTokens,
): number {
	const minute = minuteOf(wallMs);
	if (report.minute >= minute) {
		const produced = extrapolate(report, Math.max(0, wallMs - atWallMs));
		return report.chargedTokens + Math.max(report.reservedTokens, produced);
	}

	return extrapolate(report, wallMs - minute * minuteMs);
}

/** Replaces the report of an ended source by one without a rate, which counts until the minute is over. */
function retainEndedUsage(
	sources: Map<string, StoredReport>,
	source: string,
	wallMs: number,
) {
	const stored = sources.get(source);
	sources.delete(source);
	if (!stored || stored.report.minute < minuteOf(wallMs)) {
		return;
	}

	const earlier = sources.get(source + endedSuffix)?.report.chargedTokens ?? 0;
	const report = {
		...stored.report,
		chargedTokens: stored.report.chargedTokens + earlier,
		reservedTokens: 0,
		tokensPerSecond: 0,
		demandPerSecond: 0,
	};
	sources.set(source + endedSuffix, {report, atWallMs: wallMs});
}

function dropExpiredEnded(sources: Map<string, StoredReport>, minute: number) {
	for (const [source, {report}] of sources) {
		if (source.endsWith(endedSuffix) && report.minute < minute) {
			sources.delete(source);
		}
	}
}

/**
 * Creates an empty store.
 * @param extrapolate - estimates the tokens that a source has produced since its last report
 */
export function createPeerUsage(extrapolate = extrapolateTokens): PeerUsage {
	const accounts = new Map<string, Map<string, StoredReport>>();
	return {
		recordReport(source, account, report, wallMs) {
			if (report.minute > minuteOf(wallMs) + maxMinutesAhead) {
				return;
			}

			let sources = accounts.get(account);
			if (!sources) {
				sources = new Map();
				accounts.set(account, sources);
			}

			sources.set(source, {report, atWallMs: wallMs});
		},
		removeSource(source, wallMs) {
			for (const [account, sources] of accounts) {
				dropExpiredEnded(sources, minuteOf(wallMs));
				retainEndedUsage(sources, source, wallMs);
				if (sources.size === 0) {
					accounts.delete(account);
				}
			}
		},
		sumUsage(account, wallMs, includes) {
			const minute = minuteOf(wallMs);
			const sum = {
				reportedTokens: 0,
				estimatedTokens: 0,
				tokensPerSecond: 0,
				demandPerSecond: 0,
			};
			for (const [source, stored] of accounts.get(account) ?? []) {
				if (includes && !includes(source)) {
					continue;
				}

				const {report} = stored;
				sum.reportedTokens +=
					report.minute >= minute ? report.chargedTokens : 0;
				sum.estimatedTokens += ceilingTokens(stored, wallMs, extrapolate);
				sum.tokensPerSecond += report.tokensPerSecond;
				sum.demandPerSecond += report.demandPerSecond;
			}

			return sum;
		},
		reportedAtMs(source, account) {
			return accounts.get(account)?.get(source)?.atWallMs;
		},
		accounts() {
			return accounts.keys();
		},
		get size() {
			let size = 0;
			for (const sources of accounts.values()) {
				size += sources.size;
			}

			return size;
		},
	};
}
