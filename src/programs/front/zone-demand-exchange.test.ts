import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	createMemberList,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
	type MemberInfo,
} from '../../decisions/fleet/index.js';
import {
	createCallMeter,
	createZoneSpillover,
} from '../../decisions/zone-spillover/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createZoneDemandExchange} from './zone-demand-exchange.js';

const vmCount = 6;
const tickMs = 1000;
const latencyMs = 2;
/** Serves 10 calls per second in each of two zones; the callers of the first zone send 12. */
const targets = ['zone-1', 'zone-2'].map((availabilityZone) => ({
	availabilityZone,
	slotCount: 1,
}));

const memberInfo = (index: number): MemberInfo => ({
	address: `10.1.0.${index}:7200`,
	availabilityZone: index % 2 === 0 ? 'zone-1' : 'zone-2',
	instanceId: `i${index}`,
	// The VM with the lowest index coordinates.
	cpuMsPerSecond: 1000 - index,
	storeReadState: 'idle',
});

/** Simulates VMs of two zones, of which the first three are in the busy zone-1 and have index 0, 2 and 4. */
function createFleet(isUp: (vm: number, nowMs: number) => boolean) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(9);
	const isAlive = (vm: number) => isUp(vm, time.nowMs());

	const vms = Array.from({length: vmCount}, (_, index) => {
		const info = memberInfo(index);
		const members = createMemberList(time, info);
		const meter = createCallMeter(time);
		const spillover = createZoneSpillover({
			ownZone: info.availabilityZone,
			clock: time,
			random,
		});
		const send = (to: string, text: string) => {
			time.after(latencyMs, () => {
				const receiver = vms.findIndex((vm) => vm.info.address === to);
				if (receiver !== -1 && isAlive(index) && isAlive(receiver)) {
					const message = decodeFleetMessage(JSON.parse(text));
					vms[receiver].handle(info.address, message);
				}
			});
		};

		const exchange = createZoneDemandExchange({
			clock: time,
			address: info.address,
			availabilityZone: info.availabilityZone,
			members,
			meter,
			spillover,
			send(to, message) {
				send(to, encodeFleetMessage(message));
			},
			sendToAll(text) {
				for (let other = 0; other < vmCount; other++) {
					if (other !== index) {
						send(memberInfo(other).address, text);
					}
				}
			},
		});
		return {
			info,
			members,
			meter,
			spillover,
			handle(from: string, message: FleetMessage) {
				if (message.kind === 'call-rates' || message.kind === 'zone-demand') {
					exchange.handle(from, message);
				}
			},
			tick: exchange.tick,
		};
	});

	const tickVm = (index: number) => {
		const {members, meter, spillover, tick} = vms[index];
		for (let other = 0; other < vmCount; other++) {
			if (other !== index && isAlive(other)) {
				members.recordSeen(memberInfo(other), 0);
			}
		}

		const calls = index % 2 === 0 ? 4 : 1;
		for (let call = 0; call < calls; call++) {
			meter.recordCall('desk');
			meter.recordAnswer('desk', 100);
			spillover.draw('desk', targets);
		}

		tick();
	};

	return {
		/** Own share of the VM with an index. */
		ownShare: (index: number) => vms[index].spillover.ownShare('desk'),
		async runUntil(untilMs: number) {
			for (
				let nowMs = time.nowMs() + tickMs;
				nowMs <= untilMs;
				nowMs += tickMs
			) {
				await time.runUntil(nowMs);
				for (let index = 0; index < vmCount; index++) {
					if (isAlive(index)) {
						tickVm(index);
					}
				}
			}
		},
	};
}

suite('exchange of the demand for plain services', () => {
	/** At a use of 0.75 in both zones: 7.5 of 12 calls stay. */
	const evenShare = 7.5 / 12;

	test('all VMs of a zone learn that its targets have no room, the coordinator included', async () => {
		const {runUntil, ownShare} = createFleet(() => true);
		await runUntil(10_000);
		for (const vm of [0, 2, 4]) {
			assert.ok(Math.abs((ownShare(vm) ?? 1) - evenShare) < 0.02);
		}

		assert.equal(ownShare(1), 1);
	});

	test('the successor of a coordinator that has gone tells the sums within seconds', async () => {
		const {runUntil, ownShare} = createFleet(
			(vm, nowMs) => vm !== 0 || nowMs < 10_000,
		);
		await runUntil(20_000);
		// Without the calls of the first VM, zone-1 has 8 calls a second, of which 7 stay.
		for (const vm of [2, 4]) {
			assert.ok(Math.abs((ownShare(vm) ?? 1) - 7 / 8) < 0.02);
		}
	});
});
