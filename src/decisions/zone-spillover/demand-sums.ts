import type {Clock} from '../../common/index.js';
import {figureWeight} from './figure-weight.js';
import type {CallReport, ServiceDemand} from './types.js';

/** Sums the demand that all VMs report to the coordinator. */
export type DemandSums = {
	/** @param vm - address of the VM whose earlier report is replaced */
	record(
		vm: string,
		availabilityZone: string,
		calls: readonly CallReport[],
	): void;
	/** Services whose time is known; reports count by their age. */
	sums(): readonly ServiceDemand[];
};

type Report = {
	readonly availabilityZone: string;
	readonly calls: readonly CallReport[];
	readonly receivedMs: number;
};

type Sum = {
	readonly zones: Map<string, number>;
	readonly serviceTimesMs: number[];
};

/**
 * Lower quartile, since the times of VMs whose targets are full contain a wait there. A wait that counted as
 * service time would move more calls than the excess.
 */
function usualMs(serviceTimesMs: readonly number[]): number {
	const sorted = [...serviceTimesMs].sort((first, second) => first - second);
	return sorted[Math.floor((sorted.length - 1) / 4)];
}

/** Creates sums without reports. */
export function createDemandSums(clock: Clock): DemandSums {
	const reports = new Map<string, Report>();

	const addReport = (
		sums: Map<string, Sum>,
		{availabilityZone, calls}: Report,
		weight: number,
	) => {
		for (const {service, callsPerSecond, serviceMs} of calls) {
			const sum: Sum = sums.get(service) ?? {
				zones: new Map<string, number>(),
				serviceTimesMs: [],
			};
			sums.set(service, sum);
			const others = sum.zones.get(availabilityZone) ?? 0;
			sum.zones.set(availabilityZone, others + callsPerSecond * weight);
			if (serviceMs !== undefined && serviceMs > 0) {
				sum.serviceTimesMs.push(serviceMs);
			}
		}
	};

	return {
		record(vm, availabilityZone, calls) {
			reports.set(vm, {availabilityZone, calls, receivedMs: clock.nowMs()});
		},
		sums() {
			const sums = new Map<string, Sum>();
			for (const [vm, report] of reports) {
				const weight = figureWeight(clock.nowMs() - report.receivedMs);
				if (weight === 0) {
					reports.delete(vm);
				} else {
					addReport(sums, report, weight);
				}
			}

			return [...sums]
				.filter(([, {serviceTimesMs}]) => serviceTimesMs.length > 0)
				.map(([service, {zones, serviceTimesMs}]) => ({
					service,
					zones,
					serviceMs: usualMs(serviceTimesMs),
				}));
		},
	};
}
