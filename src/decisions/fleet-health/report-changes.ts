import type {TargetReport, TargetTotals} from './types.js';

/** Changes of one VM's totals since its report before. */
export type TotalsChange = Omit<TargetTotals, 'targetId'> & {
	readonly targetId: string;
};

/** Turns the reports of the VMs into changes. */
export type ReportChanges = {
	/**
	 * @param from - address of the VM
	 * @returns the changes; empty for a report that is older than the last one
	 */
	changesIn(from: string, report: TargetReport): readonly TotalsChange[];
	/** Removes VMs that are not known any more. */
	retainOnly(addresses: ReadonlySet<string>): void;
};

type Sender = {
	readonly incarnation: number;
	sequence: number;
	/** True if the first report of the VM has arrived here, so that totals without an earlier value were zero. */
	readonly isKnownFromStart: boolean;
	readonly totals: Map<string, TargetTotals>;
};

const zeroOf = (targetId: string): TargetTotals => ({
	targetId,
	answers: 0,
	failures: 0,
	idempotentCalls: 0,
	trialAnswers: 0,
	trialFailures: 0,
});

export function createReportChanges(): ReportChanges {
	const senders = new Map<string, Sender>();

	const senderOf = (from: string, report: TargetReport): Sender => {
		const known = senders.get(from);
		if (known?.incarnation === report.incarnation) {
			return known;
		}

		const sender: Sender = {
			incarnation: report.incarnation,
			sequence: 0,
			isKnownFromStart: report.sequence === 1,
			totals: new Map(),
		};
		senders.set(from, sender);
		return sender;
	};

	return {
		changesIn(from, report) {
			const sender = senderOf(from, report);
			if (report.sequence <= sender.sequence) {
				return [];
			}

			sender.sequence = report.sequence;
			return report.totals.map((totals) => {
				const {targetId} = totals;
				// What a VM had seen before it became known here is too old to count.
				const before =
					sender.totals.get(targetId) ??
					(sender.isKnownFromStart ? zeroOf(targetId) : totals);
				sender.totals.set(targetId, totals);
				return {
					targetId,
					answers: totals.answers - before.answers,
					failures: totals.failures - before.failures,
					idempotentCalls: totals.idempotentCalls - before.idempotentCalls,
					trialAnswers: totals.trialAnswers - before.trialAnswers,
					trialFailures: totals.trialFailures - before.trialFailures,
				};
			});
		},
		retainOnly(addresses) {
			for (const address of senders.keys()) {
				if (!addresses.has(address)) {
					senders.delete(address);
				}
			}
		},
	};
}
