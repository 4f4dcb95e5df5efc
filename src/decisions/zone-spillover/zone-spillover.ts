import type {Clock, RandomSource} from '../../common/index.js';
import {figureWeight} from './figure-weight.js';
import {stepShares} from './share-step.js';
import type {ServiceDemand, UsableTarget, ZoneShares} from './types.js';
import {zoneShares} from './zone-shares.js';

/**
 * Largest part of a zone's calls that changes its zone within a second. Bursts last from 3 s, so that the
 * share has to follow within the first of them.
 */
const maxStepPerS = 0.5;

export type ZoneSpilloverOptions = {
	/** Availability zone of this VM. */
	readonly ownZone: string;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** Decides which calls of this VM leave its availability zone. */
export type ZoneSpillover = {
	/** Takes the demand for a service, as the coordinator has summed it. */
	recordDemand(demand: ServiceDemand): void;
	/**
	 * Draws the zone of the target for one call.
	 * @param targets - all targets that this VM may use for the service now
	 * @returns undefined if there are no recent figures
	 */
	draw(
		service: string,
		targets: ReadonlyArray<Omit<UsableTarget, 'serviceMs'>>,
	): string | undefined;
	/** Share of the calls that stay in the own zone, in 0..1; undefined without recent figures. */
	ownShare(service: string): number | undefined;
};

type ServiceState = {
	demand: ServiceDemand;
	receivedMs: number;
	shares: ZoneShares;
	steppedMs: number;
};

/** Creates the decision for one VM, without figures. */
export function createZoneSpillover(
	options: ZoneSpilloverOptions,
): ZoneSpillover {
	const {ownZone, clock, random} = options;
	const services = new Map<string, ServiceState>();

	/** Shares by the figures; while these count half, only half of the excess leaves. */
	const goalOf = (
		{zones, serviceMs}: ServiceDemand,
		targets: ReadonlyArray<Omit<UsableTarget, 'serviceMs'>>,
		weight: number,
	): ZoneShares => {
		const shares = zoneShares(
			ownZone,
			zones,
			targets.map((target) => ({...target, serviceMs})),
		);
		const ownShare = shares.get(ownZone);
		if (ownShare === undefined) {
			return shares;
		}

		const weighted = new Map<string, number>();
		for (const [zone, share] of shares) {
			weighted.set(zone, share * weight);
		}

		return weighted.set(ownZone, 1 - (1 - ownShare) * weight);
	};

	const drawFrom = (shares: ZoneShares): string | undefined => {
		let rest = random.nextUnit();
		let drawn: string | undefined;
		for (const [zone, share] of shares) {
			if (share > 0) {
				drawn = zone;
			}

			rest -= share;
			if (rest < 0) {
				break;
			}
		}

		return drawn;
	};

	return {
		recordDemand(demand) {
			const {service} = demand;
			const nowMs = clock.nowMs();
			const state = services.get(service);
			if (state) {
				state.demand = demand;
				state.receivedMs = nowMs;
				return;
			}

			const shares = new Map([[ownZone, 1]]);
			services.set(service, {
				demand,
				shares,
				receivedMs: nowMs,
				steppedMs: nowMs,
			});
		},
		draw(service, targets) {
			const state = services.get(service);
			const nowMs = clock.nowMs();
			const weight = state ? figureWeight(nowMs - state.receivedMs) : 0;
			if (!state || weight === 0) {
				services.delete(service);
				return undefined;
			}

			const goal = goalOf(state.demand, targets, weight);
			const elapsedS = (nowMs - state.steppedMs) / 1000;
			state.shares = stepShares(state.shares, goal, maxStepPerS * elapsedS);
			state.steppedMs = nowMs;
			return drawFrom(state.shares);
		},
		ownShare(service) {
			const shares = services.get(service)?.shares;
			return shares && (shares.get(ownZone) ?? 0);
		},
	};
}
