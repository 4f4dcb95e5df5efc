import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type Timers,
} from '../../common/index.js';
import type {
	CrashEvidenceMessage,
	FleetMessage,
	MemberList,
} from '../../decisions/fleet/index.js';
import type {
	CrashEvidence,
	PartReport,
} from '../../decisions/quarantine/index.js';

export type CrashEvidenceExchangeOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	/** Address of this VM. */
	readonly address: string;
	readonly members: MemberList;
	readonly evidence: CrashEvidence;
	readonly send: (to: string, message: FleetMessage) => void;
};

/**
 * Exchanges what the VMs know of engines that ended under prompt parts. Each VM tells the coordinator and
 * its standby what its own requests have shown, and both tell all VMs.
 */
export type CrashEvidenceExchange = Disposable & {
	handle(message: CrashEvidenceMessage): void;
	/** Sends everything to a VM that has just joined. */
	sendTo(address: string): void;
	/** Sends recent news again, since datagrams get lost; called at regular intervals. */
	tick(): void;
};

/** Time for which changes are collected before they are sent together, in milliseconds. */
const batchDelayMs = 10;
/** Time for which news is sent again at each tick, in milliseconds. */
const repeatMs = 5000;
/** Interval at which the coordinator sends everything to all VMs, in milliseconds. */
const refreshMs = 15_000;
/** Largest number of prompt parts in one datagram. */
const maxReportsPerMessage = 16;

export function createCrashEvidenceExchange(
	options: CrashEvidenceExchangeOptions,
): CrashEvidenceExchange {
	const {clock, timers, address, members, evidence, send} = options;
	const owned = createDisposableStore();
	let announcement: Disposable | undefined;
	let announcedMs = -Infinity;
	let refreshedMs = clock.nowMs();

	const sendReports = (
		receivers: Iterable<string>,
		reports: readonly PartReport[],
	) => {
		for (let start = 0; start < reports.length; start += maxReportsPerMessage) {
			const message: CrashEvidenceMessage = {
				kind: 'crash-evidence',
				reports: reports.slice(start, start + maxReportsPerMessage),
			};
			for (const receiver of receivers) {
				send(receiver, message);
			}
		}
	};

	/** Sends what this VM has learned since a time to those that it has to tell. */
	const announce = (sinceMs: number) => {
		announcedMs = clock.nowMs();
		const informed = members
			.coordinatorAndStandby()
			.map((member) => member.address);
		if (informed.includes(address)) {
			sendReports([...members.peerAddresses()], evidence.reports(sinceMs));
		} else {
			sendReports(informed, evidence.reports(sinceMs, 'own'));
		}
	};

	const isRefreshDue = () =>
		members.coordinator.address === address &&
		clock.nowMs() - refreshedMs >= refreshMs;

	owned.add(
		evidence.onChanged(() => {
			announcement ??= timers.after(batchDelayMs, () => {
				announcement = undefined;
				announce(announcedMs);
			});
		}),
	);

	return {
		handle({reports}) {
			for (const report of reports) {
				evidence.recordReport(report);
			}
		},
		sendTo(to) {
			sendReports([to], evidence.reports(-Infinity));
		},
		tick() {
			if (isRefreshDue()) {
				refreshedMs = clock.nowMs();
				announce(-Infinity);
			} else {
				announce(clock.nowMs() - repeatMs);
			}
		},
		dispose() {
			announcement?.dispose();
			owned.dispose();
		},
	};
}
