import {SeededRandomSource} from '../../../common/index.js';
import {VirtualTime} from '../../../experiments/fakes/index.js';
import {chooseServiceTarget} from '../../serving/service-placement.js';
import {createCallMeter, type CallMeter} from '../call-meter.js';
import {createDemandSums} from '../demand-sums.js';
import {createZoneSpillover, type ZoneSpillover} from '../zone-spillover.js';

/** Load and faults of a replay; times in seconds since its start. */
export type ZoneScenario = {
	readonly durationS: number;
	/** Calls per second of the callers in a zone. */
	readonly demandOf: (zone: string, timeS: number) => number;
	readonly isUsable?: (zone: string, timeS: number) => boolean;
	/** Share of the datagrams that are lost, in 0..1. */
	readonly lossOf?: (timeS: number) => number;
};

/** Counts of a replay. */
export type ZoneOutcome = {
	calls: number;
	/** Calls that met a target without a free slot. */
	full: number;
	/** Calls above the objective of 125 ms. */
	late: number;
	/** Calls above the time limit of 1.5 s. */
	unserved: number;
	betweenZones: number;
	/** Calls to the target of each zone, by second. */
	readonly perSecond: Map<string, number[]>;
};

type ReplayVm = {
	readonly zone: string;
	readonly spillover: ZoneSpillover;
	/** Ends of open calls by target, in milliseconds. */
	readonly open: Map<string, number[]>;
	readonly meter: CallMeter;
};

/** Zones with one target each, of 6 slots and 21.4 ms per call. */
export const replayZones: readonly string[] = ['zone-1', 'zone-2', 'zone-3'];
export const replaySlots = 6;
export const replayServiceMs = 21.4;
const pathMs = 1.4;
const vmCount = 80;
const service = 'desk';

/** Replays calls of 80 VMs that decide by themselves, by the present rule or by the shares of the zones. */
export async function replayZoneCalls(
	scenario: ZoneScenario,
	rule: 'present' | 'shares',
): Promise<ZoneOutcome> {
	const time = new VirtualTime();
	// The load draws from a source of its own, so that both rules meet the same calls.
	const load = new SeededRandomSource(11);
	const random = new SeededRandomSource(12);
	const sums = createDemandSums(time);
	const slots = new Map(
		replayZones.map((zone) => [
			zone,
			Array.from({length: replaySlots}, () => 0),
		]),
	);
	const vms = Array.from({length: vmCount}, (_, index): ReplayVm => {
		const zone = replayZones[index % replayZones.length];
		const spillover = createZoneSpillover({ownZone: zone, clock: time, random});
		return {zone, spillover, open: new Map(), meter: createCallMeter(time)};
	});
	const outcome: ZoneOutcome = {
		calls: 0,
		full: 0,
		late: 0,
		unserved: 0,
		betweenZones: 0,
		perSecond: new Map(replayZones.map((zone) => [zone, []])),
	};

	const exchange = (nowMs: number) => {
		const loss = scenario.lossOf?.(nowMs / 1000) ?? 0;
		for (const [index, vm] of vms.entries()) {
			if (nowMs % 1000 === index * 12) {
				const report = vm.meter.takeReport();
				if (random.nextUnit() >= loss) {
					sums.record(`vm-${index}`, vm.zone, report);
				}
			}
		}

		if (nowMs % 1000 === 990) {
			const demand = sums.sums().find((sum) => sum.service === service);
			for (const {spillover} of vms) {
				if (demand && random.nextUnit() >= loss) {
					spillover.recordDemand(demand);
				}
			}
		}
	};

	const choose = (vm: ReplayVm, nowMs: number): string | undefined => {
		const candidates = replayZones
			.filter((zone) => scenario.isUsable?.(zone, nowMs / 1000) ?? true)
			.map((zone) => {
				const open = (vm.open.get(zone) ?? []).filter((end) => end > nowMs);
				vm.open.set(zone, open);
				return {
					targetId: zone,
					availabilityZone: zone,
					slotCount: replaySlots,
					openCount: open.length,
					isSuspect: false,
					isAvoided: false,
				};
			});
		const drawn =
			rule === 'shares' ? vm.spillover.draw(service, candidates) : undefined;
		return chooseServiceTarget(candidates, drawn ?? vm.zone, new Set(), random)
			?.targetId;
	};

	const call = (zone: string, nowMs: number) => {
		const serviceMs = replayServiceMs * (0.5 + load.nextUnit());
		const inZone = vms.filter((vm) => vm.zone === zone);
		const vm = inZone[Math.floor(load.nextUnit() * inZone.length)];
		vm.meter.recordCall(service);
		outcome.calls++;
		const target = choose(vm, nowMs);
		const ends = target === undefined ? undefined : slots.get(target);
		if (target === undefined || !ends) {
			outcome.unserved++;
			return;
		}

		const wayMs = target === zone ? 0 : pathMs;
		const startMs = Math.max(nowMs + wayMs, Math.min(...ends));
		const durationMs = startMs + serviceMs + wayMs - nowMs;
		vm.meter.recordAnswer(service, durationMs);
		ends[ends.indexOf(Math.min(...ends))] = startMs + serviceMs;
		vm.open.get(target)?.push(nowMs + durationMs);
		outcome.full += startMs > nowMs + wayMs ? 1 : 0;
		outcome.late += durationMs > 125 ? 1 : 0;
		outcome.unserved += durationMs > 1500 ? 1 : 0;
		outcome.betweenZones += target === zone ? 0 : 1;
		const seconds = outcome.perSecond.get(target) ?? [];
		const second = Math.floor(nowMs / 1000);
		seconds[second] = (seconds[second] ?? 0) + 1;
	};

	for (let nowMs = 1; nowMs < scenario.durationS * 1000; nowMs++) {
		await time.runUntil(nowMs);
		exchange(nowMs);
		for (const zone of replayZones) {
			if (load.nextUnit() < scenario.demandOf(zone, nowMs / 1000) / 1000) {
				call(zone, nowMs);
			}
		}
	}

	return outcome;
}
