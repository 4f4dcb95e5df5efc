import type {Clock} from '../../common/index.js';
import {
	type CallRatesMessage,
	encodeFleetMessage,
	type FleetMessage,
	type MemberList,
	type ZoneDemandMessage,
} from '../../decisions/fleet/index.js';
import {
	type CallMeter,
	createDemandSums,
	type ServiceDemand,
	type ZoneSpillover,
} from '../../decisions/zone-spillover/index.js';

export type ZoneDemandExchangeOptions = {
	readonly clock: Clock;
	/** Address of this VM. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly members: Pick<MemberList, 'coordinator' | 'isCoordinator'>;
	readonly meter: Pick<CallMeter, 'takeReport'>;
	readonly spillover: Pick<ZoneSpillover, 'recordDemand'>;
	readonly send: (to: string, message: FleetMessage) => void;
	readonly sendToAll: (text: string) => void;
};

/** Reports the calls of this VM to the coordinator, and the sums of the coordinator to all VMs. */
export type ZoneDemandExchange = {
	handle(from: string, message: CallRatesMessage | ZoneDemandMessage): void;
	/** Called at regular intervals; reports once a second. */
	tick(): void;
};

/** Shortest time in which calls are counted, in milliseconds; a VM that is alone has shorter ticks. */
const minCountMs = 900;

export function createZoneDemandExchange(
	options: ZoneDemandExchangeOptions,
): ZoneDemandExchange {
	const {clock, address, availabilityZone, members, spillover} = options;
	const sums = createDemandSums(clock);
	let reportedMs = clock.nowMs();

	const recordDemands = (demands: readonly ServiceDemand[]) => {
		for (const demand of demands) {
			spillover.recordDemand(demand);
		}
	};

	const reportCalls = () => {
		const calls = options.meter.takeReport();
		const to = members.coordinator.address;
		if (to === address) {
			sums.record(address, availabilityZone, calls);
		} else if (calls.length > 0) {
			options.send(to, {kind: 'call-rates', availabilityZone, calls});
		}
	};

	const announceSums = () => {
		const demands = sums.sums();
		if (demands.length > 0) {
			options.sendToAll(encodeFleetMessage({kind: 'zone-demand', demands}));
			recordDemands(demands);
		}
	};

	return {
		handle(from, message) {
			if (message.kind === 'call-rates') {
				sums.record(from, message.availabilityZone, message.calls);
			} else if (from === members.coordinator.address) {
				// Another VM that coordinates for a while knows only a part of the demand.
				recordDemands(message.demands);
			}
		},
		tick() {
			const nowMs = clock.nowMs();
			if (nowMs - reportedMs < minCountMs) {
				return;
			}

			reportedMs = nowMs;
			reportCalls();
			if (members.isCoordinator) {
				announceSums();
			}
		},
	};
}
