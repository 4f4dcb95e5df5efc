import type {Clock} from '../../common/index.js';
import {figureWeight} from './figure-weight.js';
import type {ZoneDemand} from './types.js';

/** Calls per second by service, as one VM has counted them. */
export type CallRates = ReadonlyMap<string, number>;

/** Sums the demand that all VMs report to the coordinator. */
export type DemandSums = {
	/** @param vm - id of the VM whose earlier report is replaced */
	record(vm: string, availabilityZone: string, rates: CallRates): void;
	/** Demand by service; reports count by their age. */
	sums(): ReadonlyMap<string, ZoneDemand>;
};

type Report = {
	readonly availabilityZone: string;
	readonly rates: CallRates;
	readonly receivedMs: number;
};

/** Creates sums without reports. */
export function createDemandSums(clock: Clock): DemandSums {
	const reports = new Map<string, Report>();

	const weightOf = ({receivedMs}: Report) =>
		figureWeight(clock.nowMs() - receivedMs);

	return {
		record(vm, availabilityZone, rates) {
			reports.set(vm, {availabilityZone, rates, receivedMs: clock.nowMs()});
		},
		sums() {
			const sums = new Map<string, Map<string, number>>();
			for (const [vm, report] of reports) {
				const weight = weightOf(report);
				if (weight === 0) {
					reports.delete(vm);
					continue;
				}

				for (const [service, perSecond] of report.rates) {
					const zones = sums.get(service) ?? new Map<string, number>();
					const zone = report.availabilityZone;
					zones.set(zone, (zones.get(zone) ?? 0) + perSecond * weight);
					sums.set(service, zones);
				}
			}

			return sums;
		},
	};
}
