import type {Clock, RandomSource, TargetEntry} from '../../common/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {
	CallTargetSearchOptions,
	ServiceStandings,
} from '../../decisions/serving/index.js';
import {
	type CallMeter,
	createCallMeter,
	createZoneSpillover,
	type ZoneSpillover,
} from '../../decisions/zone-spillover/index.js';

export type ZoneCallsOptions = {
	/** Availability zone of this VM. */
	readonly availabilityZone: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly standings: Pick<ServiceStandings, 'withUse'>;
	readonly detector: Pick<OutlierDetector, 'excluded'>;
};

/** Calls of this VM to plain services: their count, and which of them leave its availability zone. */
export type ZoneCalls = {
	readonly meter: CallMeter;
	readonly spillover: ZoneSpillover;
	readonly drawZone: CallTargetSearchOptions['drawZone'];
	/** True if the target is in the zone of this VM. */
	isInOwnZone(target: TargetEntry): boolean;
	/** Why a call to the target leaves the zone, for the log; undefined if it stays there. */
	leavingReason(target: TargetEntry): string | undefined;
};

export function createZoneCalls(options: ZoneCallsOptions): ZoneCalls {
	const {availabilityZone, clock, standings, detector} = options;
	const spillover = createZoneSpillover({
		...options,
		ownZone: availabilityZone,
	});

	const isInOwnZone = (target: TargetEntry) =>
		target.availabilityZone === availabilityZone;

	const hasOwnTarget = (service: string) => {
		const excluded = detector.excluded(service);
		return standings
			.withUse(service, 'normal', undefined)
			.some((target) => isInOwnZone(target) && !excluded.has(target.id));
	};

	return {
		meter: createCallMeter(clock),
		spillover,
		drawZone(service, candidates) {
			// A target that fails has no room, unless all do.
			const healthy = candidates.filter(({isSuspect}) => !isSuspect);
			return spillover.draw(service, healthy.length > 0 ? healthy : candidates);
		},
		isInOwnZone,
		leavingReason(target) {
			if (isInOwnZone(target)) {
				return undefined;
			}

			if (!hasOwnTarget(target.service)) {
				return 'no usable target in the own zone';
			}

			return (spillover.ownShare(target.service) ?? 1) < 1
				? 'the own zone has no room'
				: 'targets in the own zone are busy or were tried';
		},
	};
}
