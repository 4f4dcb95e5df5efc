import {minuteMs, minuteOf} from './constants.js';
import type {PeerUsageTotals, UsageReport} from './types.js';

/** What other VMs have reported, by source and account. */
export type PeerUsage = {
	/** Number of reports held. */
	readonly size: number;
	/**
	 * Replaces a source's report on an account.
	 * @param wallMs - wall-clock time of arrival in milliseconds
	 */
	recordReport(
		source: string,
		account: string,
		report: UsageReport,
		wallMs: number,
	): void;
	/**
	 * Drops a source that is gone for good. What it produced in this minute still counts; its rate does not.
	 * @param wallMs - wall-clock time in milliseconds
	 */
	removeSource(source: string, wallMs: number): void;
	/**
	 * Sums up an account's use by other VMs.
	 * @param includes - which sources to sum, all if absent
	 */
	sumUsage(
		account: string,
		wallMs: number,
		includes?: (source: string) => boolean,
	): PeerUsageTotals;
	/** Wall-clock time at which a source's report on an account came, in milliseconds. */
	reportedAtMs(source: string, account: string): number | undefined;
	/** Accounts with at least one report. */
	accounts(): Iterable<string>;
};

type Held = {readonly report: UsageReport; readonly atWallMs: number};

// A clock that is ahead by up to this much still counts for the current minute.
const maxMinutesAhead = 1;

// Marks what an ended process had produced. Names of VMs hold no space.
const endedSuffix = ' ended';

/** Tokens that a source is taken to have used during a silence: its last rate goes on. */
export function extrapolateTokens(
	report: UsageReport,
	silentMs: number,
): number {
	return (report.tokensPerSecond * silentMs) / 1000;
}

function ceilingTokens(
	{report, atWallMs}: Held,
	wallMs: number,
	tokensInSilence: typeof extrapolateTokens,
): number {
	const minute = minuteOf(wallMs);
	if (report.minute >= minute) {
		const produced = tokensInSilence(report, Math.max(0, wallMs - atWallMs));
		return report.chargedTokens + Math.max(report.reservedTokens, produced);
	}

	return tokensInSilence(report, wallMs - minute * minuteMs);
}

function retire(sources: Map<string, Held>, source: string, wallMs: number) {
	const held = sources.get(source);
	sources.delete(source);
	if (!held || held.report.minute < minuteOf(wallMs)) {
		return;
	}

	const earlier = sources.get(source + endedSuffix)?.report.chargedTokens ?? 0;
	const report = {
		...held.report,
		chargedTokens: held.report.chargedTokens + earlier,
		reservedTokens: 0,
		tokensPerSecond: 0,
		demandPerSecond: 0,
	};
	sources.set(source + endedSuffix, {report, atWallMs: wallMs});
}

function dropPast(sources: Map<string, Held>, minute: number) {
	for (const [source, {report}] of sources) {
		if (source.endsWith(endedSuffix) && report.minute < minute) {
			sources.delete(source);
		}
	}
}

/**
 * Creates a store without reports.
 * @param tokensInSilence - what a silent source counts for
 */
export function createPeerUsage(
	tokensInSilence = extrapolateTokens,
): PeerUsage {
	const accounts = new Map<string, Map<string, Held>>();
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
				dropPast(sources, minuteOf(wallMs));
				retire(sources, source, wallMs);
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
			for (const [source, held] of accounts.get(account) ?? []) {
				if (includes && !includes(source)) {
					continue;
				}

				const {report} = held;
				sum.reportedTokens +=
					report.minute >= minute ? report.chargedTokens : 0;
				sum.estimatedTokens += ceilingTokens(held, wallMs, tokensInSilence);
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
