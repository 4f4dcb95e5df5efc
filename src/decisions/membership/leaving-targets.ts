import {createEmitter, type Event, type VmEntry} from '../../common/index.js';
import type {Membership} from './membership-types.js';
import type {SharedEntry} from './types.js';

/**
 * Targets that get no new work because the VM list or the target itself reported that they are leaving. The
 * reports are shared with all entry VMs.
 */
export type LeavingTargets = {
	/** Fires when a target starts or stops counting as leaving. */
	readonly onChange: Event<{
		readonly targetId: string;
		readonly leaving: boolean;
	}>;
	/** Ids of the targets that are leaving at present. */
	readonly targetIds: ReadonlySet<string>;
	/** Records from the VM list which instance each target runs on, and which of them are leaving. */
	recordVmList(vms: readonly VmEntry[], atWallMs: number): void;
	/** Records that a target announced that it is leaving, in a load report or a response. */
	recordLeaving(targetId: string, atWallMs: number): void;
	/**
	 * Removes reports that were not renewed within their lifetime, and checks again whether recent ones still
	 * apply; call about once a second.
	 */
	expire(nowWallMs: number): void;
};

type LeavingReport = {
	readonly targetId: string;
	/** Instance that is leaving, or empty if the VM list did not show one. */
	readonly instanceId: string;
	readonly source: 'list' | 'target';
	/** Wall-clock time of the latest report, in milliseconds. */
	reportedAtMs: number;
};

/** Instance of a target and the wall-clock time at which the VM list first showed it. */
type Instance = {readonly instanceId: string; readonly firstSeenAtMs: number};

// A leaving VM stays in the VM list until it is gone, so a report from the list needs no early expiry.
const listReportLifetimeMs = 15 * 60_000;

// A report of the target itself may arrive late and then be applied to a new instance. It expires early for
// this reason; repeated reports renew it.
const targetReportLifetimeMs = 120_000;

// The VM list may show a new instance this long after it took over, so a report received shortly before may
// come from the new instance.
const listLagMs = 10_000;

// Least time between published reports on the same instance.
const renewalIntervalMs = 30_000;
const maxReports = 4096;
const maxClockSkewMs = 60_000;

/** @param wallMs - wall-clock time in milliseconds */
export function createLeavingTargets(
	membership: Membership,
	wallMs: () => number,
): LeavingTargets {
	const emitter = createEmitter<{
		readonly targetId: string;
		readonly leaving: boolean;
	}>();
	const reports = new Map<string, LeavingReport>();
	const instances = new Map<string, Instance>();
	const targetIds = new Set<string>();
	const ownReportsAtMs = new Map<string, number>();

	// True if a report says, or may say, that the current instance of its target is leaving.
	const concernsCurrentInstance = (report: LeavingReport): boolean => {
		const current = instances.get(report.targetId);
		if (!current) {
			return true;
		}

		if (report.instanceId === current.instanceId) {
			return true;
		}

		if (report.source === 'list') {
			return false;
		}

		const wasAlreadyListed = current.firstSeenAtMs <= report.reportedAtMs;
		const mayBeCurrent =
			current.firstSeenAtMs - report.reportedAtMs <= listLagMs &&
			wallMs() - report.reportedAtMs <= listLagMs;
		return (report.instanceId === '' && wasAlreadyListed) || mayBeCurrent;
	};

	const updateTarget = (targetId: string) => {
		const isLeaving = [...reports.values()].some(
			(report) =>
				report.targetId === targetId && concernsCurrentInstance(report),
		);
		if (isLeaving !== targetIds.has(targetId)) {
			if (isLeaving) {
				targetIds.add(targetId);
			} else {
				targetIds.delete(targetId);
			}

			emitter.fire({targetId, leaving: isLeaving});
		}
	};

	const keep = (key: string, report: LeavingReport) => {
		if (reports.has(key) || reports.size < maxReports) {
			reports.set(key, report);
			updateTarget(report.targetId);
		}
	};

	const keyOf = (targetId: string, instanceId: string) =>
		`${targetId} ${instanceId}`;

	const publish = (report: LeavingReport) => {
		const key = keyOf(report.targetId, report.instanceId);
		keep(key, report);
		membership.publishEntry({
			scope: '',
			kind: 'leaving',
			key,
			incarnation: report.source === 'list' ? 1 : 0,
			counter: report.reportedAtMs,
			values: [],
		});
	};

	// `recordReport` doesn't publish a report that soon follows another on the same instance. If the VM list shows
	// a new instance shortly after such a report, the report may have come from the new instance and is published
	// now, so that peers apply it as well.
	const recordInstance = (
		targetId: string,
		instanceId: string,
		atMs: number,
	) => {
		const known = instances.get(targetId);
		instances.set(targetId, {instanceId, firstSeenAtMs: atMs});
		const reportedAtMs = ownReportsAtMs.get(targetId);
		if (
			known &&
			reportedAtMs !== undefined &&
			atMs - reportedAtMs <= listLagMs &&
			reports.get(keyOf(targetId, known.instanceId))?.source === 'target'
		) {
			const {instanceId: previousId} = known;
			publish({
				targetId,
				instanceId: previousId,
				source: 'target',
				reportedAtMs,
			});
		}

		updateTarget(targetId);
	};

	const recordReport = (
		targetId: string,
		instanceId: string,
		source: LeavingReport['source'],
		atWallMs: number,
	) => {
		const key = keyOf(targetId, instanceId);
		const known = reports.get(key);
		if (
			known &&
			atWallMs - known.reportedAtMs < renewalIntervalMs &&
			(known.source === 'list' || source === 'target')
		) {
			return;
		}

		publish({targetId, instanceId, source, reportedAtMs: atWallMs});
	};

	const isExpired = (report: LeavingReport, nowWallMs: number) => {
		const ageMs = nowWallMs - report.reportedAtMs;
		const lifetimeMs =
			report.source === 'list' ? listReportLifetimeMs : targetReportLifetimeMs;
		return ageMs > lifetimeMs || ageMs < -maxClockSkewMs;
	};

	membership.onEntryAccepted((entry: SharedEntry) => {
		if (entry.kind === 'leaving') {
			const [targetId, instanceId = ''] = entry.key.split(' ');
			const source = entry.incarnation === 1 ? 'list' : 'target';
			const reportedAtMs = entry.counter;
			const report = {targetId, instanceId, source, reportedAtMs} as const;
			if (isExpired(report, wallMs())) {
				// Otherwise two VMs whose reports expire at different times would keep sending it to each other.
				membership.entries.remove(entry);
			} else {
				keep(entry.key, report);
			}
		}
	});

	return {
		onChange: emitter.event,
		targetIds,
		recordVmList(vms, atWallMs) {
			const listed = new Set(vms.map((vm) => vm.name));
			for (const name of instances.keys()) {
				if (!listed.has(name) && !targetIds.has(name)) {
					instances.delete(name);
				}
			}

			for (const {role, name, instanceId, state} of vms) {
				if (role === 'entry') {
					continue;
				}

				if (instances.get(name)?.instanceId !== instanceId) {
					recordInstance(name, instanceId, atWallMs);
				}

				if (state === 'leaving') {
					recordReport(name, instanceId, 'list', atWallMs);
				}
			}
		},
		recordLeaving(targetId, atWallMs) {
			const instanceId = instances.get(targetId)?.instanceId ?? '';
			ownReportsAtMs.set(targetId, atWallMs);
			recordReport(targetId, instanceId, 'target', atWallMs);
		},
		expire(nowWallMs) {
			for (const [key, report] of reports) {
				if (nowWallMs - report.reportedAtMs <= 2 * listLagMs) {
					updateTarget(report.targetId);
				}

				if (isExpired(report, nowWallMs)) {
					ownReportsAtMs.delete(report.targetId);
					reports.delete(key);
					const entry = membership.entries.get('leaving', '', key);
					if (entry) {
						membership.entries.remove(entry);
					}

					updateTarget(report.targetId);
				}
			}
		},
	};
}
