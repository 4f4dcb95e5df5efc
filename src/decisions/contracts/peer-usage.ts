import {minuteMs, minuteOf} from './constants.js';
import type {OthersUsage, UsageReport} from './types.js';

/** What other VMs have reported, by source and account. */
export type PeerUsage = {
	/** Number of reports held. */
	readonly size: number;
	/**
	 * Replaces a source's report on an account.
	 * @param wallMs - wall-clock time of arrival in milliseconds
	 */
	report(
		source: string,
		account: string,
		report: UsageReport,
		wallMs: number,
	): void;
	/** Drops a source that is gone for good. */
	forget(source: string): void;
	others(account: string, wallMs: number): OthersUsage;
	/** Grows with every report on the account. */
	revision(account: string): number;
};

type Held = {readonly report: UsageReport; readonly atWallMs: number};

type AccountReports = {readonly sources: Map<string, Held>; revision: number};

// A clock that is ahead by up to this much still counts for the current minute.
const maxMinutesAhead = 1;

function ceilingTokens(held: Held, wallMs: number): number {
	const {report, atWallMs} = held;
	const minute = minuteOf(wallMs);
	const silentMs = Math.max(0, wallMs - atWallMs);
	if (report.minute >= minute) {
		const produced = (report.tokensPerSecond * silentMs) / 1000;
		return report.chargedTokens + Math.max(report.reservedTokens, produced);
	}

	return (report.tokensPerSecond * (wallMs - minute * minuteMs)) / 1000;
}

/** Creates a store without reports. */
export function createPeerUsage(): PeerUsage {
	const accounts = new Map<string, AccountReports>();
	return {
		report(source, account, report, wallMs) {
			if (report.minute > minuteOf(wallMs) + maxMinutesAhead) {
				return;
			}

			let reports = accounts.get(account);
			if (!reports) {
				reports = {sources: new Map(), revision: 0};
				accounts.set(account, reports);
			}

			reports.revision++;
			reports.sources.set(source, {report, atWallMs: wallMs});
		},
		forget(source) {
			for (const [account, reports] of accounts) {
				reports.sources.delete(source);
				if (reports.sources.size === 0) {
					accounts.delete(account);
				}
			}
		},
		others(account, wallMs) {
			const minute = minuteOf(wallMs);
			const sum = {floorTokens: 0, ceilingTokens: 0, demandPerSecond: 0};
			for (const held of accounts.get(account)?.sources.values() ?? []) {
				const {report} = held;
				sum.floorTokens += report.minute >= minute ? report.chargedTokens : 0;
				sum.ceilingTokens += ceilingTokens(held, wallMs);
				sum.demandPerSecond += report.demandPerSecond;
			}

			return sum;
		},
		revision(account) {
			return accounts.get(account)?.revision ?? 0;
		},
		get size() {
			let size = 0;
			for (const reports of accounts.values()) {
				size += reports.sources.size;
			}

			return size;
		},
	};
}
