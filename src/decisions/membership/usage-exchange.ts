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

/** What the exchange works with. */
export type UsageExchangeOptions = {
	readonly self: string;
	readonly region: string;
	readonly membership: Membership;
	readonly ledger: SharedContractLedger;
	readonly peerUsage: PeerUsage;
	readonly contractOf: (account: string) => Contract;
	readonly wallMs: () => number;
};

/** Tells peers what client accounts use here and hands what they tell to the ledger. */
export type UsageExchange = {
	/** Shares what has changed; call about once a second. */
	publish(nowMs: number): void;
};

type Published = {readonly report: UsageReport; readonly atWallMs: number};

/** What a sum is made of. */
type SumSources = {
	/** Entry VMs in the sum: it may be off by the tolerances of all of them. */
	readonly vms: number;
	readonly includes: (source: string) => boolean;
};

/**
 * Receivers extend a report by its rate. A new one is sent only when they would be off by this part of the
 * account's ceiling per VM, or of its use, so that steady use costs few bytes.
 */
const ceilingPart = 0.05;
const usePart = 0.05;
const leastTokens = 20;

// Floors count reported tokens only, so these are renewed while they grow.
const renewMs = 10_000;

// A new minute is reported at once, even if little was used, unless the queue is this long.
const longQueuePressure = 3;

// Sums move slowly and travel far.
const sumIntervalMs = 5000;

// Older reports say nothing about a rate any more.
const maxAgeMinutes = 10;

function predictedTokens(published: Published, wallMs: number): number {
	const {report, atWallMs} = published;
	const produced = (report.tokensPerSecond * (wallMs - atWallMs)) / 1000;
	return report.chargedTokens + produced;
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

/** Creates the exchange and begins to listen to peers. */
export function createUsageExchange(
	options: UsageExchangeOptions,
): UsageExchange {
	const {membership, peerUsage, ledger} = options;
	const {selector} = membership;
	const published = new Map<string, Published>();
	const publishedSums = new Map<string, Published>();
	let sumsAtMs = Number.NEGATIVE_INFINITY;

	const pressureOn = (report: UsageReport) =>
		membership.backlogFactor('usage', valuesOf(report));

	const tolerance = (account: string, report: UsageReport, vms: number) =>
		pressureOn(report) *
		Math.max(
			leastTokens,
			usePart * report.chargedTokens,
			(ceilingPart * options.contractOf(account).ceilingTokensPerMinute * vms) /
				(membership.directory.size + 1),
		);

	const isDue = (
		account: string,
		report: UsageReport,
		last: Published | undefined,
		vms = 1,
	) => {
		if (!last) {
			return report.chargedTokens + report.demandPerSecond > 0;
		}

		const wallMs = options.wallMs();
		if (last.report.minute !== report.minute) {
			const rate = last.report.tokensPerSecond + last.report.demandPerSecond;
			const isQueueLong = pressureOn(report) > longQueuePressure;
			return (
				report.chargedTokens + rate >
				(isQueueLong ? tolerance(account, report, vms) : 0)
			);
		}

		const off = Math.abs(predictedTokens(last, wallMs) - report.chargedTokens);
		return (
			off > tolerance(account, report, vms) ||
			(wallMs - last.atWallMs > renewMs * pressureOn(report) &&
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

	const shareSum = (
		scope: string,
		account: string,
		own: UsageReport | undefined,
		{vms, includes}: SumSources,
	) => {
		const wallMs = options.wallMs();
		const others = peerUsage.sumUsage(account, wallMs, includes);
		const minute = Math.floor(wallMs / 60_000);
		const current = own?.minute === minute ? own : undefined;
		const report: UsageReport = {
			minute,
			chargedTokens: others.reportedTokens + (current?.chargedTokens ?? 0),
			reservedTokens:
				Math.max(0, others.estimatedTokens - others.reportedTokens) +
				(current?.reservedTokens ?? 0),
			tokensPerSecond: others.tokensPerSecond + (own?.tokensPerSecond ?? 0),
			demandPerSecond: others.demandPerSecond + (own?.demandPerSecond ?? 0),
		};
		const id = `${scope} ${account}`;
		if (!isDue(account, report, publishedSums.get(id), vms)) {
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

	const vmsOfRegion = () => {
		let count = 1;
		for (const {region} of membership.directory.members()) {
			count += region === options.region ? 1 : 0;
		}

		return count;
	};

	const publishSums = (
		own: ReadonlyMap<string, UsageReport>,
		nowMs: number,
	) => {
		const {group} = selector;
		const role = sumRoleOf(options.self, options.region, membership, nowMs);
		if (!role.isGroupPublisher) {
			publishedSums.clear();
			return;
		}

		const inGroup: SumSources = {
			vms: selector.groupPeers.length + 1,
			includes: (source) => !isSumScope(source),
		};
		const inRegion: SumSources = {
			vms: vmsOfRegion(),
			includes: (source) => !source.startsWith(regionScope('')),
		};
		for (const account of new Set([...own.keys(), ...peerUsage.accounts()])) {
			const ownReport = own.get(account);
			if (role.hasOtherGroups) {
				shareSum(groupScope(group), account, ownReport, inGroup);
			}

			if (role.isRegionPublisher) {
				const scope = regionScope(options.region);
				shareSum(scope, account, ownReport, inRegion);
			}
		}
	};

	const isOwnSum = (scope: string) =>
		scope === groupScope(selector.group) ||
		scope === regionScope(options.region);

	const take = (entry: SharedEntry) => {
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
			take(entry);
		}
	});
	membership.onProcessEnded((name) => {
		peerUsage.removeSource(name, options.wallMs());
	});

	return {
		publish(nowMs) {
			const wallMs = options.wallMs();
			const own = publishOwn(wallMs);
			if (nowMs - sumsAtMs >= sumIntervalMs) {
				sumsAtMs = nowMs;
				publishSums(own, nowMs);
			}
		},
	};
}
