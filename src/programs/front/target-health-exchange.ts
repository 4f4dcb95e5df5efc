import {
	type Clock,
	createDisposableStore,
	type Disposable,
	repeat,
	type Timers,
} from '../../common/index.js';
import type {
	AvoidedTargetsMessage,
	FleetMessage,
	MemberList,
	TargetReportMessage,
} from '../../decisions/fleet/index.js';
import {
	type AvoidedTarget,
	type AvoidedTargetList,
	type AvoidedTargets,
	type CallObserver,
	createTargetJudge,
	type TargetJudgeOptions,
	type TargetReport,
} from '../../decisions/fleet-health/index.js';

export type TargetHealthExchangeOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	/** Address of this VM. */
	readonly address: string;
	readonly members: Pick<
		MemberList,
		'coordinator' | 'coordinatorAndStandby' | 'peerAddresses'
	>;
	readonly observer: CallObserver;
	readonly avoidedTargets: AvoidedTargets;
	readonly serviceOf: TargetJudgeOptions['serviceOf'];
	readonly send: (to: string, message: FleetMessage) => void;
	readonly onError: (error: unknown) => void;
};

/**
 * Exchanges what the VMs' calls show of the targets of plain services. Each VM reports to the coordinator and
 * its standby; the coordinator tells all VMs which targets to avoid.
 */
export type TargetHealthExchange = Disposable & {
	handle(
		from: string,
		message: AvoidedTargetsMessage | TargetReportMessage,
	): void;
};

/** Interval at which open calls are checked, and evidence is evaluated, in milliseconds. */
const tickMs = 25;
/** Shortest interval between two reports while calls fail, in milliseconds. */
const urgentReportMs = 100;
/** Interval of the reports while calls are answered, in milliseconds. */
const reportMs = 1000;
/** Interval at which the list of avoided targets is sent again, in milliseconds. */
const refreshMs = 250;
/** Time for which an empty list is sent again, since datagrams get lost, in milliseconds. */
const repeatEmptyMs = 1000;
/** Interval at which the totals of VMs that are gone are removed, in milliseconds. */
const retainMs = 5000;

export function startTargetHealthExchange(
	options: TargetHealthExchangeOptions,
): TargetHealthExchange {
	const {clock, timers, address, members, observer, avoidedTargets} = options;
	const owned = createDisposableStore();
	const judge = owned.add(createTargetJudge(options));
	let reportedMs = -Infinity;
	let announcedMs = -Infinity;
	let lastAvoidedMs = -Infinity;
	let isAnnouncementDue = false;
	const incarnation = Math.round(clock.wallMs());
	let sequence = 0;
	let received: (AvoidedTargetList & {readonly from: string}) | undefined;
	let retainedMs = clock.nowMs();
	owned.add(
		judge.onChanged(() => {
			isAnnouncementDue = true;
		}),
	);

	const isFirst = () => members.coordinator.address === address;

	const sendReport = (report: TargetReport) => {
		for (const {address: to} of members.coordinatorAndStandby()) {
			if (to === address) {
				judge.recordReport(address, report);
			} else {
				options.send(to, {kind: 'target-report', report});
			}
		}
	};

	const reportIfDue = () => {
		const intervalMs = observer.isUrgent ? urgentReportMs : reportMs;
		if (clock.nowMs() - reportedMs < intervalMs) {
			return;
		}

		const report = observer.takeReport();
		if (report) {
			reportedMs = clock.nowMs();
			sendReport(report);
		}
	};

	const announce = (targets: readonly AvoidedTarget[]) => {
		announcedMs = clock.nowMs();
		isAnnouncementDue = false;
		avoidedTargets.replace(targets);
		sequence++;
		const list: AvoidedTargetList = {incarnation, sequence, targets};
		for (const to of members.peerAddresses()) {
			options.send(to, {kind: 'avoided-targets', list});
		}
	};

	/** The standby judges too, so that it can go on at once when it becomes the coordinator. */
	const judgeNow = () => {
		judge.evaluate();
		if (!isFirst()) {
			return;
		}

		const nowMs = clock.nowMs();
		const targets = judge.avoided();
		lastAvoidedMs = targets.length > 0 ? nowMs : lastAvoidedMs;
		const isRepeated = nowMs - lastAvoidedMs <= repeatEmptyMs;
		if (isAnnouncementDue || (isRepeated && nowMs - announcedMs >= refreshMs)) {
			announce(targets);
		}
	};

	const handleList = (from: string, list: AvoidedTargetList) => {
		const isOlder =
			received?.from === from &&
			received.incarnation === list.incarnation &&
			received.sequence >= list.sequence;
		if (!isOlder && from === members.coordinator.address) {
			received = {...list, from};
			avoidedTargets.replace(list.targets);
		}
	};

	const forgetFormerMembers = () => {
		if (clock.nowMs() - retainedMs >= retainMs) {
			retainedMs = clock.nowMs();
			judge.retainOnly(new Set([address, ...members.peerAddresses()]));
		}
	};

	owned.add(
		repeat(timers, {
			intervalMs: () => tickMs,
			run() {
				observer.check();
				reportIfDue();
				judgeNow();
				avoidedTargets.sweep();
				forgetFormerMembers();
			},
			onError: options.onError,
		}),
	);

	return {
		handle(from, message) {
			if (message.kind === 'target-report') {
				judge.recordReport(from, message.report);
			} else {
				handleList(from, message.list);
			}
		},
		dispose() {
			owned.dispose();
		},
	};
}
