import {
	type PeerUsage,
	type SharedContractLedger,
	type UsageReport,
} from '../contracts/index.js';
import type {Contract} from '../../common/index.js';
import {groupScope, isSumScope, regionScope} from './entry-scope.js';
import type {Membership} from './membership-types.js';
import {sumRoleOf} from './sum-role.js';
import type {SharedEntry} from './types.js';

/** Identity of the VM, the membership that carries the entries, and the ledger that they come from. */
export type UsageExchangeOptions = {
	readonly self: string;
	readonly region: string;
	readonly membership: Membership;
	readonly ledger: SharedContractLedger;
	readonly peerUsage: PeerUsage;
	readonly contractOf: (account: string) => Contract;
	readonly wallMs: () => number;
};

/** Shares the token usage of client accounts on this VM with peers, and records what peers report. */
export type UsageExchange = {
	/** Publishes reports that are due; call about once a second. */
	publish(nowMs: number): void;
};

type Published = {readonly report: UsageReport; readonly atWallMs: number};

/** Sources that a sum adds up. */
type SumSources = {
	/** Number of entry VMs in the sum; the sum may deviate by the tolerances of all of them. */
	readonly vmCount: number;
	readonly includes: (source: string) => boolean;
};

// Receivers extrapolate a report by its rate. A new one is published only when their estimate would deviate by
// this fraction of the account's ceiling per VM, or of its usage, so that steady usage costs few bytes.
const ceilingFraction = 0.05;
const usageFraction = 0.05;
const minToleranceTokens = 20;

// Whether an account has reached its floor is judged by reported tokens alone, without extrapolation, so reports
// are renewed at this interval while usage grows.
const renewalIntervalMs = 10_000;

// The first report of a new minute is published at once, even for little usage, unless the backlog factor is
// higher than this.
const longBacklogFactor = 3;

// Sums change slowly and are sent to many VMs.
const sumIntervalMs = 5000;

// An older report no longer tells the current rate.
const maxAgeMinutes = 10;

function predictedTokens(published: Published, wallMs: number): number {
	const {report, atWallMs} = published;
	const producedTokens = (report.tokensPerSecond * (wallMs - atWallMs)) / 1000;
	return report.chargedTokens + producedTokens;
}

function valuesOf(report: UsageReport): number[] {
	return [
		report.minute,
		Math.round(report.chargedTokens),
		Math.round(report.reservedTokens),
		Math.round(report.tokensPerSecond * 10) / 10,
		Math.round(report.demandPerSecond * 10) / 10,
	];
}

function reportOf(values: readonly number[]): UsageReport | undefined {
	if (values.length < 5) {
		return undefined;
	}

	const [
		minute,
		chargedTokens,
		reservedTokens,
		tokensPerSecond,
		demandPerSecond,
	] = values;
	return {
		minute,
		chargedTokens,
		reservedTokens,
		tokensPerSecond,
		demandPerSecond,
	};
}

export function createUsageExchange(
	options: UsageExchangeOptions,
): UsageExchange {
	const {membership, peerUsage, ledger} = options;
	const {selector} = membership;
	const published = new Map<string, Published>();
	const publishedSums = new Map<string, Published>();
	let lastSumsAtMs = Number.NEGATIVE_INFINITY;

	const backlogFactorOf = (report: UsageReport) =>
		membership.backlogFactor('usage', valuesOf(report));

	const tolerance = (account: string, report: UsageReport, vmCount: number) =>
		backlogFactorOf(report) *
		Math.max(
			minToleranceTokens,
			usageFraction * report.chargedTokens,
			(ceilingFraction *
				options.contractOf(account).ceilingTokensPerMinute *
				vmCount) /
				(membership.directory.size + 1),
		);

	const isDue = (
		account: string,
		report: UsageReport,
		last: Published | undefined,
		vmCount = 1,
	) => {
		if (!last) {
			return report.chargedTokens + report.demandPerSecond > 0;
		}

		const wallMs = options.wallMs();
		if (last.report.minute !== report.minute) {
			const rate = last.report.tokensPerSecond + last.report.demandPerSecond;
			const isBacklogLong = backlogFactorOf(report) > longBacklogFactor;
			return (
				report.chargedTokens + rate >
				(isBacklogLong ? tolerance(account, report, vmCount) : 0)
			);
		}

		const deviationTokens = Math.abs(
			predictedTokens(last, wallMs) - report.chargedTokens,
		);
		return (
			deviationTokens > tolerance(account, report, vmCount) ||
			(wallMs - last.atWallMs > renewalIntervalMs * backlogFactorOf(report) &&
				(report.chargedTokens !== last.report.chargedTokens ||
					last.report.tokensPerSecond >= 1))
		);
	};

	const publishOwn = (wallMs: number) => {
		const reports = ledger.ownReports(wallMs);
		for (const [account, report] of reports) {
			if (isDue(account, report, published.get(account))) {
				published.set(account, {report, atWallMs: wallMs});
				membership.publish('usage', account, valuesOf(report));
			}
		}

		for (const account of published.keys()) {
			if (!reports.has(account)) {
				published.delete(account);
			}
		}

		return reports;
	};

	const publishSum = (
		scope: string,
		account: string,
		ownReport: UsageReport | undefined,
		{vmCount, includes}: SumSources,
	) => {
		const wallMs = options.wallMs();
		const others = peerUsage.sumUsage(account, wallMs, includes);
		const minute = Math.floor(wallMs / 60_000);
		const currentReport = ownReport?.minute === minute ? ownReport : undefined;
		const report: UsageReport = {
			minute,
			chargedTokens:
				others.reportedTokens + (currentReport?.chargedTokens ?? 0),
			reservedTokens:
				Math.max(0, others.estimatedTokens - others.reportedTokens) +
				(currentReport?.reservedTokens ?? 0),
			tokensPerSecond:
				others.tokensPerSecond + (ownReport?.tokensPerSecond ?? 0),
			demandPerSecond:
				others.demandPerSecond + (ownReport?.demandPerSecond ?? 0),
		};
		const id = `${scope} ${account}`;
		if (!isDue(account, report, publishedSums.get(id), vmCount)) {
			return;
		}

		publishedSums.set(id, {report, atWallMs: wallMs});
		membership.publishEntry({
			scope,
			kind: 'usage',
			key: account,
			incarnation: Math.floor(wallMs / 1000),
			counter: 0,
			values: valuesOf(report),
		});
	};

	const countRegionVms = () => {
		let count = 1;
		for (const {region} of membership.directory.members()) {
			count += region === options.region ? 1 : 0;
		}

		return count;
	};

	const publishSums = (
		ownReports: ReadonlyMap<string, UsageReport>,
		nowMs: number,
	) => {
		const {group} = selector;
		const role = sumRoleOf(options.self, options.region, membership, nowMs);
		if (!role.isGroupPublisher) {
			publishedSums.clear();
			return;
		}

		const groupSources: SumSources = {
			vmCount: selector.groupPeers.length + 1,
			includes: (source) => !isSumScope(source),
		};
		const regionSources: SumSources = {
			vmCount: countRegionVms(),
			includes: (source) => !source.startsWith(regionScope('')),
		};
		for (const account of new Set([
			...ownReports.keys(),
			...peerUsage.accounts(),
		])) {
			const ownReport = ownReports.get(account);
			if (role.hasOtherGroups) {
				publishSum(groupScope(group), account, ownReport, groupSources);
			}

			if (role.isRegionPublisher) {
				const scope = regionScope(options.region);
				publishSum(scope, account, ownReport, regionSources);
			}
		}
	};

	const isOwnSum = (scope: string) =>
		scope === groupScope(selector.group) ||
		scope === regionScope(options.region);

	const applyEntry = (entry: SharedEntry) => {
		const report = reportOf(entry.values);
		const wallMs = options.wallMs();
		const age = Math.floor(wallMs / 60_000) - (report?.minute ?? 0);
		if (!report || age > maxAgeMinutes) {
			membership.entries.remove(entry);
		} else if (!isOwnSum(entry.scope)) {
			peerUsage.recordReport(entry.scope, entry.key, report, wallMs);
		}
	};

	membership.onEntryAccepted((entry) => {
		if (entry.kind === 'usage') {
			applyEntry(entry);
		}
	});
	membership.onProcessEnded((name) => {
		peerUsage.removeSource(name, options.wallMs());
	});

	return {
		publish(nowMs) {
			const wallMs = options.wallMs();
			const ownReports = publishOwn(wallMs);
			if (nowMs - lastSumsAtMs >= sumIntervalMs) {
				lastSumsAtMs = nowMs;
				publishSums(ownReports, nowMs);
			}
		},
	};
}
